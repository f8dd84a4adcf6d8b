package storer_test

import (
	"testing"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/storer"
)

// A row of another writer whose name contains a slash was taken for the row that is named like
// what follows the slash: another daemon, replica, crash or the configuration.
func TestNamesKeepSlashes(t *testing.T) {
	for key, name := range map[string]string{
		"servers//r1": "r1", "servers//x/r1": "x/r1", "servers///r1": "/r1", "servers//r1/": "r1/", "op//config": "config", "op//x/config": "x/config",
		"members/z/vm1": "vm1", "members/z/x/vm1": "x/vm1", "": "", "a": "", "a/b": "", "a/b/": "",
	} {
		is.New(t).Equal(storer.Row{Key: key}.Name(), name)
	}
}
