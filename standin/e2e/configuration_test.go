package e2e

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"baywall.example/core/resource"
	"baywall.example/core/vm"
	"baywall.example/entry/api"
	"baywall.example/standin/fleet"
)

func vmsRevision(address string) uint64 {
	resp, err := http.Get("http://" + address + "/v1/ready")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var answer api.ReadyAnswer
	_ = json.NewDecoder(resp.Body).Decode(&answer)
	return answer.VMsRevision
}

// awaitInForce waits until the status that an entry VM reports for a resource says that
// the revision is in force on all VMs.
func awaitInForce(t *testing.T, address, path string, revision uint64) {
	t.Helper()
	await(t, path+" is in force everywhere", func() bool {
		v, _ := getResource(t, address, path)
		return v.Revision >= revision && v.Status.InForce == v.Status.Of && v.Status.Of > 0
	})
}

func TestChangeIsInForceEverywhereAndInvalidChangeIsRejected(t *testing.T) {
	is := is.New(t)
	f := start(t, site())
	entry := f.Entries()[2]
	revision := f.Platform.Put(resource.KindTeam, "green", resource.Team{Concurrency: 9})
	awaitInForce(t, entry, "/v1/teams/green", revision)

	bad := f.Platform.Put(resource.KindTeam, "green", map[string]any{"concurrency": 0.5})
	await(t, "the invalid change is rejected", func() bool {
		v, _ := getResource(t, entry, "/v1/teams/green")
		return v.Status.RejectedRevision == bad
	})
	v, _ := getResource(t, entry, "/v1/teams/green")
	is.Equal(v.Status.Phase, api.PhaseRejected)
	is.True(strings.Contains(v.Status.Reason, "concurrency"))
	is.Equal(v.Revision, revision)
	is.True(strings.Contains(string(v.Spec), "9"))

	deleted := f.Platform.Delete(resource.KindTeam, "green")
	await(t, "the entry VM has the deletion", func() bool {
		_, status := getResource(t, entry, "/v1/teams/green")
		return status == http.StatusNotFound
	})
	await(t, "the entry VM has the deletion's revision", func() bool {
		r, ok := fleet.Revision(entry)
		return ok && r >= deleted
	})
}

func TestWatchReportsChangeUntilItIsInForce(t *testing.T) {
	is := is.New(t)
	f := start(t, site())
	resp, err := http.Get("http://" + f.Entries()[1] + "/v1/teams?watch=1&revision=" + "0")
	is.NoErr(err)
	defer resp.Body.Close()
	revision := f.Platform.Put(resource.KindTeam, "green", resource.Team{Concurrency: 3})
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		var v api.ResourceView
		is.NoErr(json.Unmarshal(lines.Bytes(), &v))
		if v.Name == "green" && v.Revision == revision && v.Status.InForce == v.Status.Of {
			return
		}
	}
	t.Fatal("the watch ended before the change was in force")
}

// While the platform serves an old state or is down, a restarting entry VM gets the newer
// configuration from its peers and does not revert to the platform's old one.
func TestRestartWithStalePlatformDoesNotRevert(t *testing.T) {
	is := is.New(t)
	f := start(t, site())
	f.Platform.Freeze(true) // takes a snapshot of the old state
	old := f.Platform.Unfreeze()
	revision := f.Platform.Put(resource.KindTeam, "green", resource.Team{Concurrency: 4})
	awaitInForce(t, f.Entries()[0], "/v1/teams/green", revision)
	f.Platform.Rewind(old)
	f.Process("entry-2").Kill()
	is.NoErr(f.Process("entry-2").Restart())
	var got uint64
	await(t, "the restarted entry VM is ready", func() bool {
		r, ok := fleet.Revision(f.Entries()[1])
		got = r
		return ok
	})
	is.True(got >= revision)

	f.Platform.SetDown(true)
	f.Process("entry-3").Kill()
	is.NoErr(f.Process("entry-3").Restart())
	await(t, "a restart works without the platform", func() bool {
		r, ok := fleet.Revision(f.Entries()[2])
		got = r
		return ok
	})
	is.True(got >= revision)
	resp, _ := post(t, f.Entries()[2], "archive", "w", "")
	is.Equal(resp.StatusCode, http.StatusOK)
}

// During a partition between two availability zones both parts continue to serve. A change
// published during the partition is in force in both parts after it ends.
func TestBothPartsServeDuringAPartition(t *testing.T) {
	is := is.New(t)
	f := start(t, site())
	var north, south []string
	var northEntry, southEntry string
	for _, v := range f.VMs() {
		if v.Zone == "north" {
			north = append(north, f.IP(v.ID))
		} else {
			south = append(south, f.IP(v.ID))
		}
		if v.Role == vm.RoleEntry && v.Zone == "north" {
			northEntry = v.HTTP
		}
		if v.Role == vm.RoleEntry && v.Zone == "south" {
			southEntry = v.HTTP
		}
	}
	f.Network.Partition(north, south, true)
	for _, address := range []string{northEntry, southEntry} {
		await(t, "both parts serve", func() bool {
			resp, _ := post(t, address, "archive", "", "")
			return resp.StatusCode == http.StatusOK
		})
	}
	revision := f.Platform.Put(resource.KindTeam, "green", resource.Team{Concurrency: 4})
	f.Network.Partition(north, south, false)
	awaitInForce(t, northEntry, "/v1/teams/green", revision)
	awaitInForce(t, southEntry, "/v1/teams/green", revision)
	resp, _ := post(t, northEntry, "archive", "after", "")
	is.Equal(resp.StatusCode, http.StatusOK)
}
