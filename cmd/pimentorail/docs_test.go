// The test is in package main because a command cannot be imported.
package main

import (
	"os"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/validator"
	"pimentorail.example/pimentorail/pkg/classifier"
	"pimentorail.example/pimentorail/platform"
)

// TestCommandsInTheDocs checks that the commands and flags in the documentation exist.
func TestCommandsInTheDocs(t *testing.T) {
	is := is.New(t)
	var c commands
	k, err := kong.New(&c)
	is.NoErr(err)
	found := 0
	for _, page := range []string{"../../README.md", "../../docs/OPERATORS.md"} {
		data, err := os.ReadFile(page)
		is.NoErr(err)
		for _, line := range strings.Split(string(data), "\n") {
			command, ok := strings.CutPrefix(line, "    pimentorail ")
			if !ok {
				continue
			}
			found++
			command, _, _ = strings.Cut(command, "#")
			command, _, _ = strings.Cut(command, ">")
			checkCommandLine(t, k, strings.Fields(command))
		}
	}
	is.True(found >= 10)
}

func checkCommandLine(t *testing.T, k *kong.Kong, words []string) {
	t.Helper()
	for _, node := range k.Model.Leaves(true) {
		if node.Name != words[0] {
			continue
		}
		flags := map[string]bool{}
		for _, group := range node.AllFlags(true) {
			for _, f := range group {
				flags["--"+f.Name] = true
			}
		}
		for _, w := range words[1:] {
			if strings.HasPrefix(w, "--") && !flags[w] {
				t.Errorf("%s has no flag %s", words[0], w)
			}
		}
		return
	}
	t.Errorf("there is no command %s", words[0])
}

// TestMakeTargetsInTheReadme checks that the make targets of the README exist, and that
// CI runs the README's test command.
func TestMakeTargetsInTheReadme(t *testing.T) {
	is := is.New(t)
	readme, err := os.ReadFile("../../README.md")
	is.NoErr(err)
	makefile, err := os.ReadFile("../../Makefile")
	is.NoErr(err)
	for _, target := range []string{"run", "test"} {
		is.True(strings.Contains(string(readme), "    make "+target+" "))
		is.True(strings.Contains(string(makefile), "\n"+target+":"))
	}
	ci, err := os.ReadFile("../../.ci/run")
	is.NoErr(err)
	is.True(strings.Contains(string(ci), "go test -race ./..."))
}

func TestExitCodes(t *testing.T) {
	is := is.New(t)
	fault := func(c classifier.Code) error { return classifier.New(c, classifier.RanNo, "x") }
	is.Equal(exitCode(errors.New("x")), exitFailure)
	is.Equal(exitCode(errors.Wrap(errBrokenPromises, "x")), exitBrokenPromises)
	is.Equal(exitCode(validator.Faults{{}}), exitInvalid)
	is.Equal(exitCode(errors.Wrap(&platform.SettingsError{}, "x")), exitSettings)
	is.Equal(exitCode(fault(classifier.ConfigConflict)), exitConflict)
	is.Equal(exitCode(fault(classifier.ConfigNotInForce)), exitNotInForce)
}
