package resource

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestDecodeNamesFieldAndValue(t *testing.T) {
	cases := []struct {
		name string
		key  Key
		spec string
		want []string // empty: valid
	}{
		{"defaults", Key{KindService, "s"}, `{}`, nil},
		{"unknown field", Key{KindService, "s"}, `{"colour": 1}`, []string{"services/s", "colour"}},
		{"wrong type", Key{KindTeam, "t"}, `{"concurrency": "many"}`, []string{"teams/t", "concurrency"}},
		{"out of range", Key{KindTeam, "t"}, `{"priority": 11}`, []string{"priority", "11", "from -10 to 10"}},
		{"not a number", Key{KindIntent, "i"}, `{"service": "s", "load_factor": 0.5}`, []string{"load_factor", "0.5"}},
		{"unknown policy", Key{KindIntent, "i"}, `{"service": "s", "policy": "magic"}`, []string{"policy", "magic", "affinity", "two-choices"}},
		{"too few slots", Key{KindGroup, "g"}, `{"service": "s", "ranks": ["a", "b"], "layers": 1, "experts": 9, "slots_per_rank": 4}`, []string{"slots_per_rank", "4", "from 5"}},
		{"rank twice", Key{KindGroup, "g"}, `{"service": "s", "ranks": ["a", "a"], "layers": 1, "experts": 1, "slots_per_rank": 4}`, []string{"ranks[1]", "\"a\"", "rank 0"}},
		{"name with a slash", Key{KindTeam, "a/b"}, `{}`, []string{"teams/a/b", "name"}},
		{"unknown kind", Key{"things", "x"}, `{}`, []string{"things/x", "kind"}},
		{"two values", Key{KindTeam, "t"}, `{} {}`, []string{"teams/t"}},
		{"not JSON", Key{KindTeam, "t"}, `{`, []string{"teams/t"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Decode(c.key, []byte(c.spec))
			if len(c.want) == 0 {
				is.New(t).NoErr(err)
				return
			}
			if err == nil {
				t.Fatal("accepted")
			}
			for _, w := range c.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("%q does not name %q", err, w)
				}
			}
		})
	}
}

func TestCheckFileNamesTheLine(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "team.yaml")
	is.NoErr(os.WriteFile(path, []byte("kind: teams\nname: t\nspec:\n  concurrency: 5\n  priority: 50\n"), 0o600))
	_, err := CheckFile(path)
	is.True(err != nil)
	for _, w := range []string{"team.yaml:5", "spec.priority", "50", "from -10 to 10"} {
		is.True(strings.Contains(err.Error(), w))
	}
	is.NoErr(os.WriteFile(path, []byte("kind: teams\nname: t\nspec:\n  concurrency: 5\n"), 0o600))
	key, err := CheckFile(path)
	is.NoErr(err)
	is.Equal(key, Key{KindTeam, "t"})
}

// FuzzDecode checks that an accepted resource validates, and that no input makes Decode
// panic.
func FuzzDecode(f *testing.F) {
	f.Add("teams", "t", []byte(`{"concurrency": 3}`))
	f.Add("services", "s", []byte(`{"engine": true, "deadline_ms": 1}`))
	f.Add("groups", "g", []byte(`{"service": "s", "ranks": ["a"], "layers": 1, "experts": 1, "slots_per_rank": 1}`))
	f.Add("intents", "i", []byte(`{"service": "s", "load_factor": 1e309}`))
	f.Fuzz(func(t *testing.T, kind, name string, raw []byte) {
		spec, err := Decode(Key{Kind(kind), name}, raw)
		if err == nil && len(spec.Validate()) > 0 {
			t.Fatal("Decode accepted a resource that does not validate")
		}
	})
}
