package process

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// SIGHUP does not terminate a process that watches its settings file, and makes it apply
// the change.
func TestSIGHUPReloadsTheFile(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	is.NoErr(os.WriteFile(path, []byte("a"), 0o600))
	changed := make(chan string, 1)
	stop := WatchFile(path, zerolog.Nop(), func(_ string, raw []byte) { changed <- string(raw) })
	defer stop()
	time.Sleep(50 * time.Millisecond) // until the watcher has read the first content
	is.NoErr(os.WriteFile(path, []byte("b"), 0o600))
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	select {
	case content := <-changed:
		is.Equal(content, "b")
	case <-time.After(5 * time.Second):
		t.Fatal("the change was not noticed")
	}
}
