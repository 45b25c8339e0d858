package poison

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against a third crash by the same idempotent request, and against a quarantine that never expires.
func TestSecondCrashQuarantinesFleetWide(t *testing.T) {
	a := New(Config{Self: model.NodeRef{ID: "a", Incarnation: 1}})
	b := New(Config{Self: model.NodeRef{ID: "b", Incarnation: 1}})
	target := model.TargetRef{Service: "kassa", ID: "t1"}
	cmds := a.Update(CrashMsg{Now: start, Target: target, InFlight: []Request{{Fingerprint: 1, Idempotent: true}, {Fingerprint: 2}}})
	require.Equal(t, Suspect, a.Snapshot().Verdict("kassa", 1))
	require.Equal(t, Quarantined, a.Snapshot().Verdict("kassa", 2))
	b.Update(ReportMsg{Now: start, Node: model.NodeRef{ID: "a", Incarnation: 1}, Entries: cmds[0].(PublishCmd).Entries})
	require.Equal(t, Suspect, b.Snapshot().Verdict("kassa", 1))
	b.Update(CrashMsg{Now: start, Target: target, InFlight: []Request{{Fingerprint: 1, Idempotent: true}}})
	require.Equal(t, Quarantined, b.Snapshot().Verdict("kassa", 1))
	b.Update(TickMsg{Now: start.Add(defaultExpiry)})
	require.Equal(t, Clear, b.Snapshot().Verdict("kassa", 1))
}

// Guards against different requests that share a fingerprint because their parts concatenate to the same text, and
// against hashing the whole body.
func TestFingerprint(t *testing.T) {
	body := make([]byte, 2*BodyBytes)
	whole := Fingerprint("s", "GET", "/a", "b=c", body)
	require.Equal(t, whole, Fingerprint("s", "GET", "/a", "b=c", body[:BodyBytes]))
	require.NotEqual(t, whole, Fingerprint("s", "GET", "/ab", "=c", body))
	require.NotEqual(t, whole, Fingerprint("s", "PUT", "/a", "b=c", body))
}
