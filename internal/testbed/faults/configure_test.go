package faults

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/controlplane/watchstream"
)

// sharedConfig returns a shared configuration derived from a version: a plan is named after the version, and the limits
// for held requests and idle connections and other settings vary with it.
func sharedConfig(discovery string, version int) watchstream.Put {
	return configPut("shared", `{"discovery":%q,"limits":{"sockets":%d},"settings":{"peersTotal":%d,"tickUs":2000,
 "classes":[{"name":"position-read","promiseUs":%d,"deadlineUs":2000000,"effect":"pure","worth":%d}],
 "contracts":[{"name":"base","usualRate":%d,"reservation":1000,"parts":1,"pays":1},{"name":"plan%d","usualRate":1000,"reservation":1000,"parts":1,"pays":1}],
 "extra":{"meanUnits":1,"largest":8},"limits":{"sendCap":3,"mostHeld":%d,"connIdleUs":%d}}}`,
		discovery, 256+version%64, 4+version%3, 1000000+version, 1+version%5, 1000+version%500, version, 2000+version, 1000000*(1+version%4))
}

// TestConfigurationUnderFaults changes the shared configuration of four initiators ten times a second under load, while
// a relay is cut off from the agents, one is paused and one killed, and one initiator is restarted. No request is lost
// or refused except at the restarted initiator, no initiator starts a successor process, and the configuration that is
// reported as applied is the one that requests meet.
func TestConfigurationUnderFaults(t *testing.T) {
	r := New(t)
	f := &streamFleet{Rig: r, t: t, targets: r.StartTargets(2, nil), startedMs: map[string]int64{"t0": 1000, "t1": 1000}}
	agents := r.StartAgents(3)
	f.RelayNetwork = r.StartRelays(agents, 2, "north", "south")
	agents.Leader()
	puts := []watchstream.Put{sharedConfig(f.targets.Discovery, 0)}
	for i, x := range f.targets.All {
		x.Shard = i
		puts = append(puts, f.targetPut(x, "SERVING"))
	}
	var all []*Instance
	for i := range 4 {
		n := f.StartConfigSubscriber(fmt.Sprint("n", i), f.regions[i%2])
		f.subscribers, all = append(f.subscribers, n), append(all, n.Instance)
		puts = append(puts, configPut("instance/"+n.Name, `{"listen":%q,"control":%q}`, n.Listen, n.Control))
	}
	f.waitApplied("all initiators to serve", f.Put(puts...), f.subscribers)
	r.StartLoad(t.Context(), all, 2)
	for _, n := range all {
		n.SetLoad(40)
		f.WaitFor(n.Name+" to serve", func() bool { return n.Served.Load() > 10 })
	}
	failedRequests := func(of []*Instance) (n int64) {
		for _, x := range of {
			n += x.Unanswered.Load() + x.OtherStatus.Load()
		}
		return n
	}
	failedBefore := failedRequests(all)

	rng := rand.New(rand.NewPCG(seedFromEnv(3), 15))
	const changes = 60
	var faultsRunning sync.WaitGroup
	var last uint64
	for i := 1; i <= changes; i++ {
		switch i {
		case changes / 6:
			cut := f.Relays[rng.IntN(2)] // of the region north
			for _, k := range cut.Links {
				k.Cut()
			}
			faultsRunning.Go(func() {
				time.Sleep(6 * time.Second)
				for _, k := range cut.Links {
					k.Heal()
				}
			})
		case changes / 3:
			paused, killed := f.Relays[2], f.Relays[3]
			if rng.IntN(2) > 0 {
				paused, killed = killed, paused
			}
			paused.Pause()
			faultsRunning.Go(func() {
				time.Sleep(2 * time.Second)
				paused.Resume()
				killed.Kill()
				time.Sleep(time.Second)
				killed.Restart()
			})
		case changes / 2:
			f.subscribers[3].Kill()
			f.subscribers[3].Restart()
		}
		last = f.Put(sharedConfig(f.targets.Discovery, i))
		time.Sleep(100 * time.Millisecond)
	}
	took := f.waitApplied("all initiators to apply the last configuration", last, f.subscribers)
	t.Logf("applied by all %v after the last change", took.Round(time.Millisecond))
	for _, n := range f.subscribers {
		require.Equal(t, http.StatusOK, requestStatus(t, n.Listen, fmt.Sprint("plan", changes)), "%s reports the last configuration as applied", n.Name)
		require.Equal(t, http.StatusUnprocessableEntity, requestStatus(t, n.Listen, fmt.Sprint("plan", changes-1)), "%s", n.Name)
	}
	faultsRunning.Wait()
	for _, n := range all {
		served := n.Served.Load()
		f.WaitFor(n.Name+" to serve", func() bool { return n.Served.Load() > served+10 })
	}
	require.EqualValues(t, failedBefore, failedRequests(all[:3]), "requests lost or refused at initiators that weren't killed")
	for i, n := range f.subscribers {
		log := n.Log()
		if i == 3 {
			log = log[strings.LastIndex(log, "msg=serving"):]
		}
		require.LessOrEqual(t, strings.Count(log, "started=true"), 1, "%s starts once:\n%s", n.Name, log)
		require.NotContains(t, log, "BAD_CONFIG")
	}
	f.WaitFor("the agents to report that all have applied it", func() bool {
		s, ok := f.versionStatus(fmt.Sprint(last))
		return ok && s.Applied == 4 && s.Rejected == 0
	})
}

// requestStatus sends one request under a plan and returns its status.
func requestStatus(t *testing.T, addr, plan string) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/position-read/7f3a9c21e0b4d655", nil)
	require.NoError(t, err)
	for name, value := range map[string]string{"Request-Id": fmt.Sprint("asked-", time.Now().UnixNano()), "Tier": plan, "Request-Timeout-Ms": "2000",
		"IO-Info": "volume=00000003b4d60021,units=1,shard=0,hosts=1"} {
		req.Header.Set(name, value)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}).Do(req)
	require.NoError(t, err)
	resp.Body.Close()
	return resp.StatusCode
}

// seedFromEnv returns the seed in SPINDLEHITCH_SEED, or the default if it is not set.
func seedFromEnv(usual uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SPINDLEHITCH_SEED"), 10, 64); err == nil {
		return n
	}
	return usual
}
