package hosted_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/roster"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// oddRows returns values that no node of the fleet writes, by row key.
func oddRows() map[string][]byte {
	record := func(key string, change func(*roster.Record)) []byte {
		r := &roster.Record{
			Node: model.Node{Ref: model.NodeRef{ID: key, Incarnation: 1}, Domain: "a", Region: "region", RelayAddress: "127.0.0.1:9", PeerAddress: "127.0.0.1:9"},
			Targets: []model.Target{{
				Ref: model.TargetRef{Service: "kassa", ID: "i-" + key, Incarnation: 1}, Node: model.NodeRef{ID: key, Incarnation: 1}, Slots: 3,
				State: model.TargetServing,
			}},
		}
		change(r)
		return r.Encode()
	}
	return map[string][]byte{
		"deep-array":  append(bytes.Repeat([]byte{0x81}, 20000), 0x00),
		"deep-map":    append(bytes.Repeat([]byte{0xa1, 0x01}, 20000), 0x00),
		"long-array":  {0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"big-number":  {0xa1, 0x02, 0x81, 0xa1, 0x03, 0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"relay-port":  record("relay-port", func(r *roster.Record) { r.Node.RelayAddress = "127.0.0.1:99999" }),
		"peer-port":   record("peer-port", func(r *roster.Record) { r.Node.PeerAddress = "127.0.0.1:-1" }),
		"no-port":     record("no-port", func(r *roster.Record) { r.Node.RelayAddress = "127.0.0.1" }),
		"many-slots":  record("many-slots", func(r *roster.Record) { r.Targets[0].Slots = 1 << 62 }),
		"minus-slots": record("minus-slots", func(r *roster.Record) { r.Targets[0].Slots = -5 }),
		"no-state":    record("no-state", func(r *roster.Record) { r.Targets[0].State = 77 }),
		"no-service":  record("no-service", func(r *roster.Record) { r.Targets[0].Ref.Service = "" }),
	}
}

// oddHeartbeats returns heartbeats that the target of the VM does not send, by what is odd about them.
func oddHeartbeats() map[string]string {
	body := func(service, address, slots, born, sequence string) string {
		return fmt.Sprintf(`{"service":%s,"address":%s,"zone":"z","version":"v1","slots":%s,"state":"ready","born":%s,"sequence":%s}`,
			service, address, slots, born, sequence)
	}
	const service, address = `"kassa"`, `"127.0.0.1:9"`
	later := fmt.Sprint(time.Now().Add(time.Second).UnixMilli())
	return map[string]string{
		"port out of range": body(service, `"127.0.0.1:99999"`, "3", later, "1"),
		"negative port":     body(service, `"127.0.0.1:-1"`, "3", later, "1"),
		"port is a name":    body(service, `"127.0.0.1:http"`, "3", later, "1"),
		"deeply nested":     `{"service":"kassa","x":` + strings.Repeat("[", 16000),
		"nested object":     body(strings.Repeat(`{"a":`, 3000)+"1"+strings.Repeat("}", 3000), address, "3", later, "1"),
		"large number":      body(service, address, "1e400", later, "1"),
		"large slots":       body(service, address, "4611686018427387904", later, "1"),
		"born far ahead":    body(service, address, "3", "9223372036854775807", "1"),
		"born is huge":      body(service, address, "3", "1e30", "1"),
		"unknown service":   body(`"bakkerij"`, address, "3", later, "1"),
		"other types":       body("7", address, `"3"`, later, "1"),
		"not readable":      "\x00\xff\xfe",
		"empty":             "",
	}
}

// Guards against nodes that end, stop following the other nodes, or give up their own target because of an entry that another
// writer left: deeply nested, with a number too large, or with a port out of range (LOST).
func TestOddEntriesOfAnotherWriter(t *testing.T) {
	f, caller := withCaller(t, 2)
	for key, value := range oddRows() {
		f.store.Put("nodes", "a", key, value)
	}
	for name, body := range oddHeartbeats() {
		for i, n := range f.nodes[:2] {
			url := "http://" + n.listeners.Local + "/api/instances/odd-" + fmt.Sprint(i) + "/heartbeat"
			response, err := http.Post(url, "application/json", strings.NewReader(body))
			require.NoError(t, err, name)
			require.NoError(t, response.Body.Close())
			require.Equal(t, http.StatusBadRequest, response.StatusCode, name)
		}
	}
	for _, n := range f.nodes {
		n.target.heartbeat("ready")
		n.target.keepAlive()
	}
	serves := func(through *testNode) {
		for range 40 {
			a := through.call(http.MethodPost, "kassa", "/order/1")
			require.Equal(t, http.StatusOK, a.status, f.logOf(a.id))
			require.NotContains(t, f.logOf(a.id), "-port")
			require.NotContains(t, f.logOf(a.id), "-slots")
		}
	}
	serves(caller)
	// The list is still followed: a target that comes later is found, by nodes that run and by one that starts.
	third := f.add("kassa", "a")
	require.Eventually(t, func() bool {
		caller.call(http.MethodGet, "kassa", "/read/x")
		return third.target.total() > 0
	}, 5*time.Second, 10*time.Millisecond)
	caller.restart("a")
	caller.target.heartbeat("ready")
	caller.await("kassa", "/read/x")
	serves(caller)
}
