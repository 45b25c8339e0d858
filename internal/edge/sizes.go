package edge

import "sync"

const (
	// headerBytes is the typical size of the headers of a request and its response between nodes.
	headerBytes = 1 << 10
	// defaultResponseBytes is the assumed response size of a route before its first response.
	defaultResponseBytes = 4 << 10
	// sizeWeight is the weight of a new response in the moving average of its route.
	sizeWeight = 1.0 / 8
)

// responseSizes holds a moving average of the response sizes by route, in bytes.
type responseSizes struct {
	mu    sync.Mutex
	means map[string]float64
}

func (s *responseSizes) add(route string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.means == nil {
		s.means = make(map[string]float64)
	}
	mean, known := s.means[route]
	if !known {
		mean = float64(bytes)
	}
	s.means[route] = mean + sizeWeight*(float64(bytes)-mean)
}

func (s *responseSizes) mean(route string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mean, known := s.means[route]; known {
		return int64(mean)
	}
	return defaultResponseBytes
}

// expectedBytes estimates the bytes that request and response will take between nodes.
func (q *request) expectedBytes() int64 {
	return headerBytes + max(0, q.body.length) + q.edge.responseSizes.mean(q.match.Route.Name)
}
