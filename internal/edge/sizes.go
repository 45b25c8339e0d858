package edge

import "sync"

const (
	// headerBytes is the usual size of the headers of a request and its answer between nodes.
	headerBytes = 1 << 10
	// usualBytes stands for the answers of a route until the first one has come.
	usualBytes = 4 << 10
	// sizeGain is the share of a new answer in the mean size of its route.
	sizeGain = 1.0 / 8
)

// sizes are the mean sizes of answers by route, in bytes.
type sizes struct {
	mu    sync.Mutex
	means map[string]float64
}

func (s *sizes) add(route string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.means == nil {
		s.means = make(map[string]float64)
	}
	mean, known := s.means[route]
	if !known {
		mean = float64(bytes)
	}
	s.means[route] = mean + sizeGain*(float64(bytes)-mean)
}

func (s *sizes) mean(route string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mean, known := s.means[route]; known {
		return int64(mean)
	}
	return usualBytes
}

// expectedBytes returns what the request will probably send between nodes.
func (q *request) expectedBytes() int64 {
	return headerBytes + max(0, q.body.length) + q.edge.sizes.mean(q.match.Route.Name)
}
