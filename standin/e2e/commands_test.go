package e2e

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"baywall.example/core/resource"
)

// run runs a command of one of the programs and returns its output and exit status.
func run(t *testing.T, binary string, args ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(binary, args...)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

func TestCheckCommands(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	const entry = "vm: e\nzone: z\nhttp: {listen: 127.0.0.1:8080}\nlink: {listen: 127.0.0.1:7000}\nprobe: {listen: 127.0.0.1:7001}\nplatform: {url: \"http://127.0.0.1:9000\"}\n"
	out, status := run(t, binaries.Entry, "check", "-settings", write("good.yaml", entry))
	is.Equal(status, 0)
	is.True(strings.Contains(out, "valid"))

	out, status = run(t, binaries.Entry, "check", "-settings", write("bad.yaml", strings.Replace(entry, "7001", "99999", 1)))
	is.Equal(status, 1)
	for _, want := range []string{"bad.yaml:5", "probe.listen", "127.0.0.1:99999", "1 to 65535"} {
		is.True(strings.Contains(out, want))
	}
	out, status = run(t, binaries.Entry, "check", "-resource", write("team.yaml", "kind: teams\nname: t\nspec: {concurrency: 0.5}\n"))
	is.Equal(status, 1)
	is.True(strings.Contains(out, "team.yaml:3"))

	out, status = run(t, binaries.Agent, "check", "-settings", write("agent.yaml", "vm: a\n"))
	is.Equal(status, 1)
	is.True(strings.Contains(out, "engine.address"))

	_, status = run(t, binaries.Entry, "serve", "-settings", filepath.Join(dir, "missing.yaml"))
	is.Equal(status, 1)
	_, status = run(t, binaries.Entry, "check")
	is.Equal(status, 2)
}

func TestClientCommands(t *testing.T) {
	is := is.New(t)
	f := start(t, site())
	entry := f.Entries()[0]
	revision := f.Platform.Put(resource.KindTeam, "green", resource.Team{Concurrency: 7})
	awaitInForce(t, entry, "/v1/teams/green", revision)
	out, status := run(t, binaries.Entry, "get", "-entry", entry, "teams", "green")
	is.Equal(status, 0)
	is.True(strings.Contains(out, `"phase":"accepted"`) && strings.Contains(out, `"concurrency":7`))
	out, status = run(t, binaries.Entry, "get", "-entry", entry, "teams", "nobody")
	is.Equal(status, 1)
	is.True(strings.Contains(out, "teams/nobody"))
	out, status = run(t, binaries.Entry, "entries", "-entry", entry, "-service", "archive", "-tickets", "2")
	is.Equal(status, 0)
	is.True(strings.Contains(out, "tickets"))
	out, status = run(t, binaries.Entry, "timeline", "-entry", entry, "-limit", "2000")
	is.Equal(status, 0)
	for _, want := range []string{"entry-1", "archive-1", "teams/green", "start"} {
		is.True(strings.Contains(out, want))
	}
	out, _ = run(t, binaries.Entry, "timeline", "-entry", entry, "-vm", "archive-1", "-json")
	is.True(strings.Contains(out, `"vm":"archive-1"`) && !strings.Contains(out, `"vm":"entry-1"`))
}
