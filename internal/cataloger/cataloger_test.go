package cataloger_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/cataloger"
)

func route(name, host, prefix string) *cataloger.Route {
	return &cataloger.Route{Name: name, Host: host, Prefix: prefix}
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	c := cataloger.New(3, []*cataloger.Route{
		route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"),
		route("root", "b.example", "/"), route("other", "b.example", "/x/"),
	}, nil, cataloger.Limits{})
	rows := []struct{ host, path, want string }{
		{"a.example", "/x/", "short"},
		{"a.example", "/x/z", "short"},
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/", ""},
		{"b.example", "/anything", "root"},
		{"b.example", "/x/y/z", "other"},
		{"c.example", "/x/", ""},
	}
	for _, row := range rows {
		t.Run(row.host+row.path, func(t *testing.T) {
			is := is.New(t)
			r := c.Match(row.host, row.path)
			is.Equal(r != nil, row.want != "")
			if r != nil {
				is.Equal(r.Name, row.want)
			}
		})
	}
}

func TestSharesFollowTheirWeights(t *testing.T) {
	is := is.New(t)
	r := route("split", "a.example", "/")
	r.Shares = []cataloger.Share{{Service: "most", Weight: 90}, {Service: "none", Weight: 0}, {Service: "few", Weight: 10}}
	counts := map[string]int{}
	for i := range 10_000 {
		id := fmt.Sprintf("request-%d", i)
		counts[r.Service(id)]++
		is.Equal(r.Service(id), r.Service(id)) // The same request id always gets the same service.
	}
	is.Equal(counts["none"], 0)
	is.True(counts["few"] > 800 && counts["few"] < 1200)
	is.Equal(route("empty", "a", "/").Service("x"), "")
}

func TestVersionsNeverGoBack(t *testing.T) {
	is := is.New(t)
	var k cataloger.Keeper
	is.Equal(k.Current().Version(), uint64(0))
	for _, row := range []struct {
		version uint64
		applied bool
		current uint64
	}{{5, true, 5}, {4, false, 5}, {5, false, 5}, {9, true, 9}, {1, false, 9}} {
		is.Equal(k.Apply(cataloger.New(row.version, nil, nil, cataloger.Limits{})), row.applied)
		is.Equal(k.Current().Version(), row.current)
	}
}
