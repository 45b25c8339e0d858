package poison

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// BodyBytes is the length of the body prefix that the fingerprint covers.
const BodyBytes = 4 << 10

// Fingerprint identifies repeated sends of a request. Scope is the service or the host; only the first BodyBytes of
// body count. Requests with the same fingerprint share suspicion and quarantine. The idempotency key is not included,
// because a caller may send the same request again under a new key.
func Fingerprint(scope, method, path, query string, body []byte) uint64 {
	h := xxhash.New()
	for _, part := range []string{scope, method, path, query} {
		_, _ = fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	_, _ = h.Write(body[:min(len(body), BodyBytes)])
	return h.Sum64()
}
