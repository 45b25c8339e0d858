package agent

import "sync"

// runningShards spreads the requests over locks, so that no lock is shared by all requests.
const runningShards = 32

// running counts the requests at the targets of this VM by service and fingerprint.
type running struct {
	shards [runningShards]runningShard
}

type runningShard struct {
	mu     sync.Mutex
	counts map[runningKey]int
}

type runningKey struct {
	service     string
	fingerprint uint64
}

func (r *running) add(service string, fingerprint uint64) {
	shard := &r.shards[fingerprint%runningShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.counts == nil {
		shard.counts = make(map[runningKey]int)
	}
	shard.counts[runningKey{service, fingerprint}]++
}

func (r *running) remove(service string, fingerprint uint64) {
	shard := &r.shards[fingerprint%runningShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	key := runningKey{service, fingerprint}
	if shard.counts[key]--; shard.counts[key] <= 0 {
		delete(shard.counts, key)
	}
}

func (r *running) has(service string, fingerprint uint64) bool {
	shard := &r.shards[fingerprint%runningShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.counts[runningKey{service, fingerprint}] > 0
}

// Running returns which of the fingerprints are at targets of this VM.
func (a *Agent) Running(service string, fingerprints []uint64) []uint64 {
	var found []uint64
	for _, fingerprint := range fingerprints {
		if a.running.has(service, fingerprint) {
			found = append(found, fingerprint)
		}
	}
	return found
}
