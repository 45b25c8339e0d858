package ticket

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/strict"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const validTicket = `number: 7
author: Ada
summary: Longer timeout
services:
  - name: kassa
    floor-slots: 18
    profile: detection
    queue: {places: 3, wait: 300ms}
    routes:
      - name: order
        path-prefix: /orders
        methods: [POST]
        timeout: 5s
        require-key: true
`

// Guards against invalid tickets that are accepted, or that are reported without line, field or remedy.
func TestParseNamesLineFieldAndRemedy(t *testing.T) {
	_, err := Parse("t.yaml", []byte(validTicket))
	require.NoError(t, err)
	for _, c := range []struct{ old, changed, message string }{
		{"number: 7", "number: 0", "t.yaml:1: number: "},
		{"number: 7", "number: -7", "t.yaml:1: number: impossible value"},
		{"author: Ada", "autor: Ada", "t.yaml:2: autor: unknown field"},
		{"author: Ada", "author: ' '", "t.yaml:2: author: the field is missing"},
		{"wait: 300ms", "wait: 300", "t.yaml:8: services[0].queue.wait: invalid duration"},
		{"timeout: 5s", "timeout: 5 s", "t.yaml:13: services[0].routes[0].timeout: invalid duration"},
		{"timeout: 5s", "timeout: -5s", "t.yaml:13: services[0].routes[0].timeout: impossible value -5s"},
		{"floor-slots: 18", "floor-slots: 18.5", "t.yaml:6: services[0].floor-slots: impossible value"},
		{"floor-slots: 18", "floor-slots: 0", "t.yaml:6: services[0].floor-slots: impossible value"},
		{"floor-slots: 18", "floor-slots:", "t.yaml:6: services[0].floor-slots: the field has no value"},
		{"profile: detection", "profile: fast", "t.yaml:7: services[0].profile: unknown profile"},
		{"methods: [POST]", "methods: POST", "t.yaml:12: services[0].routes[0].methods: expected a list"},
		{"methods: [POST]", "methods: [POST, POST]", "t.yaml:12: services[0].routes[0].methods[1]: method POST is listed twice"},
		{"methods: [POST]", "methods: [post]", "t.yaml:12: services[0].routes[0].methods[0]: unknown method"},
		{"path-prefix: /orders", "path-prefix: orders", "t.yaml:11: services[0].routes[0].path-prefix: impossible path prefix"},
		{"path-prefix: /orders", "path-prefix: /a/../b", "t.yaml:11: services[0].routes[0].path-prefix: impossible path prefix"},
		{"require-key: true", "require-key: yes please", "t.yaml:14: services[0].routes[0].require-key: impossible value"},
		{"require-key: true", "resumable: true", "t.yaml:14: services[0].routes[0].resumable: only idempotent routes"},
		{"name: kassa", "name: Kassa", "t.yaml:5: services[0].name: impossible name"},
		{"name: kassa", "name: &a kassa", "t.yaml:5: services[0].name: anchors"},
		{"summary: Longer timeout", "author: Bob", "t.yaml:"},
		{"number: 7", "number: 7\n---\nnumber: 8", "t.yaml:3: the file holds more than one YAML document"},
		{"services:", "remove: [kassa]\nservices:", "t.yaml:4: remove[0]: service \"kassa\" is named twice"},
	} {
		text := strings.Replace(validTicket, c.old, c.changed, 1)
		_, err := Parse("t.yaml", []byte(text))
		require.ErrorContains(t, err, c.message, c.changed)
		var problems strict.Problems
		require.ErrorAs(t, err, &problems)
		require.Len(t, problems, 1, "one mistake must give one error: %v", err)
		require.Contains(t, err.Error(), "remedy: ", c.changed)
	}
}

// Guards against NaN, infinity and other values that only programs can produce and that simple comparisons let pass.
func TestValidateRefusesWhatIsNotANumber(t *testing.T) {
	base, err := Parse("t.yaml", []byte(validTicket))
	require.NoError(t, err)
	for _, change := range []func(*model.ServiceSpec){
		func(s *model.ServiceSpec) { s.AccountShare = math.NaN() },
		func(s *model.ServiceSpec) { s.Ejection.ErrorRatio = math.NaN() },
		func(s *model.ServiceSpec) { s.Ejection.SlowFactor = math.Inf(1) },
		func(s *model.ServiceSpec) { s.Queue = model.QueueSpec{Places: 3} },
		func(s *model.ServiceSpec) { s.Routes[0].Timeout = model.Duration(2 * time.Hour) },
		func(s *model.ServiceSpec) { s.Routes = nil },
	} {
		changed := base
		changed.Services = []model.ServiceSpec{base.Services[0]}
		changed.Services[0].Routes = []model.RouteSpec{base.Services[0].Routes[0]}
		change(&changed.Services[0])
		require.Error(t, Validate(changed))
	}
}

// Guards against a ticket that is valid by itself but conflicts with the configuration.
func TestValidateAgainstTheConfiguration(t *testing.T) {
	first, err := Parse("t.yaml", []byte(validTicket))
	require.NoError(t, err)
	c := Apply(&model.Configuration{Number: 6}, first)
	again := first
	again.Number = 8
	require.NoError(t, ValidateAgainst(c, again), "a ticket may redefine a service")
	other := again
	other.Services = []model.ServiceSpec{first.Services[0]}
	other.Services[0].Name = "kassa-two"
	require.ErrorContains(t, ValidateAgainst(c, other), "matches the same requests as route order of service kassa")
	other.Remove = []string{"kassa"}
	require.NoError(t, ValidateAgainst(c, other), "the removed service no longer conflicts")
	other.Remove = []string{"unknown"}
	require.ErrorContains(t, ValidateAgainst(c, other), `no service "unknown" is configured`)
	require.ErrorContains(t, ValidateAgainst(c, first), "file as number 8")
}

// Guards against a digest that depends on the formatting of the file, or that misses a change.
func TestDigestFollowsTheContent(t *testing.T) {
	a, err := Parse("t.yaml", []byte(validTicket))
	require.NoError(t, err)
	b, err := Parse("t.yaml", []byte("# comment\n"+strings.Replace(validTicket, "timeout: 5s", "timeout: 5000ms", 1)))
	require.NoError(t, err)
	c, err := Parse("t.yaml", []byte(strings.Replace(validTicket, "timeout: 5s", "timeout: 6s", 1)))
	require.NoError(t, err)
	digests := make([]string, 0, 3)
	for _, t2 := range []model.Ticket{a, b, c} {
		d, err := Digest(t2)
		require.NoError(t, err)
		digests = append(digests, d)
	}
	require.Equal(t, digests[0], digests[1])
	require.NotEqual(t, digests[0], digests[2])
}

// FuzzParse guards against panics on arbitrary files, and against accepted tickets that change when they are encoded
// and decoded.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validTicket))
	f.Add([]byte("number: 1\nauthor: Ada\nremove: [kassa]\n"))
	f.Add([]byte("a: &a [*a]"))
	f.Add([]byte("{number: 1, services: [{name: x, routes: [{}]}]}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, err := Parse("fuzz.yaml", data)
		if err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		require.NoError(t, Validate(parsed))
		encoded, err := Encode(parsed)
		require.NoError(t, err)
		decoded, err := Decode(encoded)
		require.NoError(t, err)
		again, err := Encode(decoded)
		require.NoError(t, err)
		require.Equal(t, encoded, again)
	})
}
