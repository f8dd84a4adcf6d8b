package isolator_test

import (
	"os"
	"testing"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/isolator"
	"pimentorail.example/pimentorail/internal/seeder"
)

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}

// TestFingerprintsTellRequestsApart guards against requests that are taken for another one:
// fields must not run into each other.
func TestFingerprintsTellRequestsApart(t *testing.T) {
	is := is.New(t)
	one := isolator.NewFingerprint("account", "/path", "body")
	is.Equal(one, isolator.NewFingerprint("account", "/path", "body"))
	for _, other := range [][]string{
		{"other", "/path", "body"}, {"account", "/path/", "body"}, {"account", "/path", "body "}, {"account/path", "", "body"}, {"account", "/pathbody", ""}, {"account", "/path", "body", ""},
	} {
		is.True(isolator.NewFingerprint(other...) != one)
	}
	is.True(one != isolator.Fingerprint{})
	is.Equal(len(one.String()), 32)
}
