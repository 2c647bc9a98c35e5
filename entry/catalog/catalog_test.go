package catalog

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

func content(version uint64, routes ...Route) Content {
	return Content{Version: version, Routes: routes}
}

func route(name, host, prefix string) Route {
	return Route{Name: name, Host: host, Prefix: prefix, Targets: []Target{{Service: name, Weight: 1}}}
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	s, err := New(content(1, route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/")))
	is.New(t).NoErr(err)
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.EXAMPLE", "/x/y/", "long"},
		{"a.example", "/x", ""},
		{"b.example", "/x/y/", "other"},
		{"c.example", "/x/", ""},
	}
	for _, c := range cases {
		t.Run(c.host+c.path, func(t *testing.T) {
			is := is.New(t)
			got := ""
			if r := s.Match(c.host, c.path); r != nil {
				got = r.Name
			}
			is.Equal(got, c.want)
		})
	}
}

func TestPickFollowsTheWeights(t *testing.T) {
	is := is.New(t)
	r := Route{Targets: []Target{{"a", 90}, {"b", 10}, {"c", 0}}}
	is.Equal(r.Pick(0), "a")
	is.Equal(r.Pick(0.899), "a")
	is.Equal(r.Pick(0.9), "b")
	is.Equal(r.Pick(0.9999), "b")
}

func TestInvalidRoutesAreRefused(t *testing.T) {
	bad := []Route{
		{Name: "no targets", Prefix: "/"},
		{Name: "no weight", Prefix: "/", Targets: []Target{{"a", 0}}},
		{Name: "negative weight", Prefix: "/", Targets: []Target{{"a", -1}}},
		{Name: "prefix", Prefix: "x", Targets: []Target{{"a", 1}}},
	}
	for _, r := range bad {
		t.Run(r.Name, func(t *testing.T) {
			_, err := New(content(1, r))
			is.New(t).True(errors.Is(err, ErrInvalid))
		})
	}
}

func TestStoreNeverAppliesALowerVersion(t *testing.T) {
	is := is.New(t)
	var store Store
	is.Equal(store.Version(), uint64(0))
	for _, step := range []struct {
		version            uint64
		rewritten, applied bool
	}{{5, false, true}, {5, false, false}, {3, false, false}, {3, true, false}, {5, true, true}, {9, false, true}} {
		s, err := New(content(step.version))
		is.NoErr(err)
		is.Equal(store.Apply(s, step.rewritten), step.applied)
	}
	is.Equal(store.Version(), uint64(9))
}

func TestTeamIsFoundByAPIKey(t *testing.T) {
	is := is.New(t)
	s, err := New(Content{Version: 1, Teams: []Team{{Name: "water", Keys: []string{"k1", "k2"}}}})
	is.NoErr(err)
	is.True(s.RequiresKey())
	is.Equal(s.Team("k2").Name, "water")
	is.True(s.Team("k3") == nil)
}
