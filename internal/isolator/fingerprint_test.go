package isolator_test

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/isolator"
	"pimentorail.example/pimentorail/internal/seeder"
)

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}

// TestMarksTellRequestsApart guards against requests that are taken for another one: fields
// must not run into each other.
func TestMarksTellRequestsApart(t *testing.T) {
	is := is.New(t)
	one := isolator.NewMark([]byte("body"), "account", "/path")
	is.Equal(one, isolator.NewMark([]byte("body"), "account", "/path"))
	is.Equal(one, isolator.NewTurnMark("", []byte("body"), "account", "/path"))
	for _, other := range []isolator.Mark{
		isolator.NewMark([]byte("body"), "other", "/path"), isolator.NewMark([]byte("body"), "account", "/path/"), isolator.NewMark([]byte("body "), "account", "/path"),
		isolator.NewMark(nil, "account/path", "body"), isolator.NewMark(nil, "account", "/pathbody"), isolator.NewMark(nil, "account", "/path", "body"),
		isolator.NewTurnMark("turn", []byte("body"), "account", "/path"), isolator.NewTurnMark("body", nil, "account", "/path"),
	} {
		is.True(other.Whole != one.Whole && other.Start != one.Start)
	}
	is.True(one.Whole != isolator.Fingerprint{})
}

// TestMarksOfConversations guards against a request that is not known again because its client
// sends it with more of the conversation.
func TestMarksOfConversations(t *testing.T) {
	is := is.New(t)
	start := strings.Repeat("beginning ", 30)
	one, other := isolator.NewMark([]byte(start+"one"), "/path"), isolator.NewMark([]byte(start+"another"), "/path")
	is.True(one.Whole != other.Whole)
	is.Equal(one.Start, other.Start)
	is.True(one.Start != isolator.NewMark([]byte(start+"one"), "/other").Start)
	short := isolator.NewMark([]byte("short"), "/path")
	is.Equal(short.Whole, short.Start)
}
