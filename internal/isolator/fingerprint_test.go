package isolator_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

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
		isolator.NewTurnMark("body", nil, "account", "/path"),
	} {
		is.True(other.Whole != one.Whole && other.Start != one.Start)
	}
	is.True(one.Whole != isolator.Fingerprint{})
	turn, next := isolator.NewTurnMark("turn", []byte("body"), "account", "/path"), isolator.NewTurnMark("next", []byte("body"), "account", "/path")
	is.True(turn.Whole != one.Whole && turn.Whole != next.Whole)
	is.True(turn.Start == one.Start && turn.Start == next.Start) // An input that crashes replicas may do so in any conversation.
}

// TestOneInputInManyConversations guards against a crashing input that ends replica after
// replica because each program sends it as the continuation of another turn.
func TestOneInputInManyConversations(t *testing.T) {
	is := is.New(t)
	var crashes []isolator.Crash
	input := []byte(strings.Repeat("the input that ends replicas ", 20))
	for n := range 3 {
		crashes = append(crashes, isolator.Crash{Service: "engine", At: time.Unix(int64(n), 0), Suspects: []isolator.Mark{
			isolator.NewTurnMark(fmt.Sprint("turn ", n), input, "/path"), isolator.NewMark([]byte(fmt.Sprint(n, ": a sound request")), "/path"),
		}})
	}
	verdicts := isolator.Judge(crashes)
	condemned := 0
	for _, f := range isolator.Beginnings(isolator.NewTurnMark("another turn", input, "/path")) {
		if verdicts[f].Condemned {
			condemned++
		}
	}
	is.Equal(condemned, 1)
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
