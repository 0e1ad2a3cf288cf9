package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"spindlehitch/internal/policy"
	"spindlehitch/internal/testbed/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

const validConfig = `{"name":"n3","listen":"127.0.0.1:8080","control":"127.0.0.1:9090","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"surprise":1,
 "known":{"version":41,"full":true,"servers":[{"id":"a","addr":"127.0.0.1:1","cell":0,"state":"SERVING"}]},
 "settings":{"peersTotal":3,"index":1,"tickUs":2000,"prices":{"handshake":0.08},"classes":[{"name":"position-read","promiseUs":150000,"deadlineUs":750000,
 "effect":"pure","worth":3},{"name":"event-write","promiseUs":200000,"deadlineUs":1200000,"effect":"side_effect","worth":2},
 {"name":"history-export","promiseUs":750000,"deadlineUs":2500000,"effect":"pure","worth":1}],
 "contracts":[{"name":"standard","usualRate":13,"reservation":13,"parts":3,"pays":0.9}],
 "limits":{"sendCap":3,"mostHeld":20000,"connIdleUs":30000000,"dialTimeoutUs":250000}}}`

func noEnv(string) string { return "" }

func TestParse(t *testing.T) {
	c, err := Parse([]byte(validConfig), func(name string) string {
		return map[string]string{"PROXY_LISTEN": "127.0.0.2:8081", "PROXY_CONTROL": "127.0.0.2:9091"}[name]
	})
	if err != nil {
		t.Fatal(err)
	}
	if c.Listen != "127.0.0.2:8081" || c.Control != "127.0.0.2:9091" || c.Seed != 0x8c1f30d27a5be964 || c.DialTimeout != 250*time.Millisecond ||
		c.MaxOpenRequests != maxOpenRequests || len(c.Policy.Classes) != 3 || c.Policy.ConnectCost != 0.08 || c.Policy.InitiatorIndex != 2 || *c.LastKnownTargets.Version != 41 {
		t.Errorf("read as %+v", c)
	}
}

// TestInvalidConfigNamesField checks that invalid configurations are rejected, and that the only error names the field.
func TestInvalidConfigNamesField(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{validConfig, "nonsense", "configuration:"},
		{`"name":"n3",`, "", "name: required"},
		{`"listen":"127.0.0.1:8080",`, "", "listen: required"},
		{"127.0.0.1:8080", "127.0.0.1", "listen:"},
		{"127.0.0.1:8080", "127.0.0.1:0", "listen: port"},
		{"127.0.0.1:9090", "9090", "control: "},
		{"127.0.0.1:8500", "127.0.0.1:99999", "discovery: port"},
		{"8c1f30d27a5be964", "tomorrow", "seed:"},
		{`"cores":1.0`, `"cores":-1`, "limits.cores"},
		{`"memory_mb":192`, `"memory_mb":-1`, "limits.memory_mb"},
		{`"sockets":1024`, `"sockets":3`, "limits.sockets"},
		{`"sockets":1024`, `"sockets":"many"`, "sockets"},
		{`"state":"SERVING"`, `"state":"ODD"`, "known: list: servers[0].state"},
		{`"settings":`, `"other":`, "settings: required"},
		{`"peersTotal":3,`, "", "peersTotal: required"},
		{`"effect":"side_effect"`, `"effect":"odd"`, "classes[1].effect"},
		{`"promiseUs":150000`, `"promiseUs":0`, "settings.classes[0].promiseUs: 0 is not over 0"},
		{`"deadlineUs":1200000,`, "", "settings.classes[1].deadlineUs: 0 is not over 0"},
		{`"peersTotal":3`, `"peersTotal":0`, "settings.peersTotal: 0 is under 1"},
		{`"sendCap":3`, `"sendCap":0`, "settings.limits.sendCap: 0 is under 1"},
		{`"event-write"`, `"position-read"`, "settings.classes: name there twice"},
		{`"classes":[`, `"classes":[],"others":[`, "settings.classes: at least 1"},
		{`"contracts":[`, `"others":[`, "settings.contracts: required"},
	} {
		_, err := Parse([]byte(strings.Replace(validConfig, c.old, c.new, 1)), noEnv)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\nsettings.") {
			t.Errorf("%.30s: %v, want %q alone", c.new, err, c.want)
		}
	}
	for _, env := range []string{"", filepath.Join(t.TempDir(), "absent")} {
		if _, err := Load(func(string) string { return env }); err == nil || !strings.Contains(err.Error(), "PROXY_CONFIG") {
			t.Errorf("PROXY_CONFIG=%q: %v", env, err)
		}
	}
}

// TestUnusualSettings parses settings that are unusual but valid, and checks that values are used as they are.
func TestUnusualSettings(t *testing.T) {
	for _, c := range []struct {
		old, new string
		holds    func(*Config) bool
	}{
		{`"handshake":0.08`, `"handshake":0`, func(c *Config) bool { return c.Policy.ConnectCost == 0 }},
		{`"pays":0.9`, `"pays":0`, func(c *Config) bool { return c.Policy.Plans[0].PriorityFactor == 0 }},
		{`"reservation":13,`, "", func(c *Config) bool { return c.Policy.Plans[0].ReservedRate == 0 }},
		{`"usualRate":13,`, "", func(c *Config) bool { return c.Policy.Plans[0].Rate == 0 }},
		{`"side_effect"`, `"token","windowUs":700000`, func(c *Config) bool {
			return c.Policy.Classes[1].DedupScope == policy.DedupFleet && c.Policy.Classes[1].DedupWindow == 700*time.Millisecond
		}},
		{`,{"name":"event-write"`, `],"kinds":[{"name":"event-write"`, func(c *Config) bool { return len(c.Policy.Classes) == 1 }},
		{`"connIdleUs":30000000`, `"connIdleUs":1`, func(c *Config) bool { return c.ConnIdleTimeout == time.Microsecond }},
		{`"dialTimeoutUs":250000`, `"dialTimeoutUs":900000`, func(c *Config) bool { return c.DialTimeout == 900*time.Millisecond }},
		{`"dialTimeoutUs":250000`, `"dialTimeout":1`, func(c *Config) bool { return c.DialTimeout == defaultDialTimeout }},
		{`"sendCap":3`, `"parallelTries":false`, func(c *Config) bool { return c.Policy.MaxAttempts == 0 }},
		{`"tickUs":2000`, `"tickUs":2000,"newFigure":{"deep":[1]}`, func(*Config) bool { return true }},
	} {
		cfg, err := Parse([]byte(strings.Replace(validConfig, c.old, c.new, 1)), noEnv)
		if err != nil || !c.holds(cfg) {
			t.Errorf("%s: %v, read as %+v", c.new, err, cfg)
		}
	}
}

// TestCorruptConfig truncates a valid configuration anywhere, which must be rejected, and parses altered and random bytes, which
// must not panic.
func TestCorruptConfig(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cut := validConfig[:rapid.IntRange(0, len(validConfig)-1).Draw(t, "cut")]
		if c, err := Parse([]byte(cut), noEnv); err == nil {
			t.Fatalf("%q was parsed as %+v", cut, c)
		}
		altered := []byte(validConfig)
		altered[rapid.IntRange(0, len(altered)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		_, _ = Parse(altered, noEnv) // may or may not be valid, but must not panic
		_, _ = Parse(rapid.SliceOf(rapid.Byte()).Draw(t, "garbage"), noEnv)
	})
}

// TestOperatorFile reads the NVMe file under deploy/ and makes one field after the other invalid.
func TestOperatorFile(t *testing.T) {
	c, err := Parse([]byte(validConfig), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile("../../../deploy/nvme.toml")
	if err != nil {
		t.Fatal(err)
	}
	read := func(text string) (*OperatorFile, error) {
		path := filepath.Join(t.TempDir(), "operator.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return ReadOperatorFile(path, c)
	}
	o, err := read(string(raw))
	if err != nil {
		t.Fatal(err)
	}
	if n := o.NVMe; len(n.Namespaces) != 1 || n.KeepAliveMs != 5000 || n.QueueDepth != 64 {
		t.Errorf("read as %+v", n)
	}
	for _, x := range []struct{ old, new, want string }{
		{"listen", "lisen", "nvme.lisen: unknown field"},
		{"127.0.0.1:4420", "here", "nvme.listen"},
		{`host_id = "5f`, `host_id = "zz`, "nvme.host_id"},
		{"queue_depth = 64", "queue_depth = 1", "nvme.queue_depth"},
		{"keep_alive_ms = 5000", "keep_alive_ms = 5", "nvme.keep_alive_ms"},
		{`plan = "standard"`, `plan = "odd"`, "nvme.namespace[0].plan"},
		{`write = "event-write"`, `write = "odd"`, "nvme.namespace[0].write"},
		{"block_bytes = 512", "block_bytes = 700", "nvme.namespace[0].block_bytes"},
		{"shards = [0, 1, 2, 3]", "shards = []", "nvme.namespace[0].shards"},
		{"bulk_blocks = 64", "bulk_blocks = 0", "nvme.namespace[0].bulk_blocks"},
		{"00000003b4d60021", "volume", "nvme.namespace[0].volume"},
		{"[nvme]", "[nvme]\ntls = { cert = \"a\", key = \"b\" }", "nvme.tls.ca: required"},
		{"[nvme]", "[nvme]\ntls = { cert = \"a\", key = \"b\", ca = \"c\", overlap_ms = -1 }", "nvme.tls.overlap_ms: -1"},
		{"[nvme]", "[nvme]\ntls = { key = \"b\", ca = \"c\" }", "nvme.tls.cert: required"},
		{"[nvme]", "[accounts]\nwindow_s = -1\n[nvme]", "accounts.window_s: -1"},
		{"[nvme]", "[accounts]\nlisten = \"x:0\"\n[nvme]", "accounts.listen: port"},
		{"[nvme]", "[agent]\nid = \"a\"\ndir = \"d\"\npeer = [{id=\"b\",raft=\"h:1\",api=\"h:2\"}]\n[nvme]", "agent.id: \"a\" is none of the peers"},
		{"[nvme]", "[agent]\nid = \"a\"\npeer = [{id=\"a\",raft=\"h:1\",api=\"h\"}]\n[nvme]", "agent.peer[0].api: "},
		{"[nvme]", "[agent]\nid = \"a\"\npeer = [{id=\"a\",raft=\"h:1\",api=\"h\"}]\n[nvme]", "agent.dir: required"}, // besides the error of the case above
		{"[nvme]", "[agent]\nid = \"a\"\ndir = \"d\"\npeer = [{id=\"a\",raft=\"h:1\",api=\"h:2\"},{id=\"a\",raft=\"h:1\",api=\"h:2\"}]\n[nvme]", "agent.peer: id there twice"},
	} {
		if _, err := read(strings.Replace(string(raw), x.old, x.new, 1)); err == nil || !strings.Contains(err.Error(), x.want) {
			t.Errorf("%s: %v, want %q", x.new, err, x.want)
		}
	}
}

// TestFleetFiles reads the fleet's files under deploy/ and makes one field after the other invalid.
func TestFleetFiles(t *testing.T) {
	for _, c := range []struct{ file, old, wrong, want string }{
		{"fleet.toml", "", "", ""}, {"budgets.toml", "", "", ""},
		{"fleet.toml", "127.0.0.1:7702", "7702", "fleet.agents[1]:"}, {"fleet.toml", "\"cold\"", "\"warm\"", "fleet.uses[0]:"},
		{"fleet.toml", "weight = 1", "weight = -1\ntasks = [\"a\", \"a\"]", "fleet.tasks:"}, {"fleet.toml", "weight = 1", "weight = 1\ntasks = [\"\"]", "fleet.tasks[0]:"},
		{"members.toml", "", "", ""}, {"members.toml", "bind = \"127.0.0.1:7801\"", "bind = \"127.0.0.1\"", "fleet.members.bind: "},
		{"members.toml", "key = ", "# key = ", "fleet.members.key: required"}, {"members.toml", "probe_ms = 1000", "probe_ms = 10", "fleet.members.probe_ms: 10"},
		{"members.toml", "timeout_ms = 300", "timeout_ms = 1000", "fleet.members.timeout_ms: 1000 is not under probe_ms"},
		{"members.toml", "pause_ms = 2000", "pause_ms = 500", "fleet.members.pause_ms: 500 is not over probe_ms"},
		{"members.toml", "\"127.0.0.1:7802\"", "\"7802\"", "fleet.members.seeds[0]: "}, {"members.toml", "zone", "zones", "fleet.members.zones: unknown field"},
		{"members.toml", "timeout_ms = 300", "timeout_ms = 1000\ncompare_ms = 1", "fleet.members.compare_ms: 1 is not over probe_ms"}, // besides the error of the case above
		{"fleet.toml", "weight = 1", "weight = -1", "fleet.weight:"}, {"fleet.toml", "weight", "wait", "wait"},
		{"budgets.toml", "per = \"target\"", "per = \"class\"\nonly = [\"none\"]", "budget[1].only: unknown class"},
		{"budgets.toml", "name = \"cold\"", "name = \"repeats\"", "budget[1].name:"},
	} {
		raw, err := os.ReadFile("../../../deploy/" + c.file)
		if err != nil {
			t.Fatal(err)
		}
		text := strings.Replace(string(raw), c.old, c.wrong, 1)
		path := filepath.Join(t.TempDir(), c.file)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cfg := &Config{}
		if c.file != "budgets.toml" {
			_, err = ReadOperatorFile(path, cfg)
		} else {
			_, err = ReadBudgets(path, cfg)
		}
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%s with %q: %v, want %q", c.file, c.wrong, err, c.want)
		}
	}
}
