package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// records counts the runs of each request. With a file, they survive a crash of the target.
type records struct {
	inFlight atomic.Int64
	total    atomic.Int64
	mu       sync.Mutex
	runs     map[string]*run
	file     *os.File
}

// run is what the target knows of one request.
type run struct {
	Request string `json:"request"`
	Key     string `json:"key"`
	Begun   int    `json:"begun"`
	Ended   int    `json:"ended"`
}

type summary struct {
	InFlight int64 `json:"in-flight"`
	Total    int64 `json:"total"`
	Fault    fault `json:"fault"`
	Runs     []run `json:"runs"`
}

// open reads the runs of earlier processes from the file and appends to it from now on.
func (r *records) open(path string) error {
	r.runs = make(map[string]*run)
	if path == "" {
		return nil
	}
	if err := r.load(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return eris.Wrap(err, "the records can't be read; choose another file")
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return eris.Wrap(err, "the records can't be written; choose another file")
	}
	r.file = file
	return nil
}

func (r *records) load(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var change run
		if err := json.Unmarshal(lines.Bytes(), &change); err != nil {
			// The last line may be cut by the crash.
			continue
		}
		r.add(change)
	}
	return lines.Err()
}

func (r *records) begin(request, key string) {
	r.inFlight.Add(1)
	r.total.Add(1)
	r.write(run{Request: request, Key: key, Begun: 1})
}

func (r *records) end(request string, whole bool) {
	r.inFlight.Add(-1)
	if whole {
		r.write(run{Request: request, Ended: 1})
	}
}

func (r *records) write(change run) {
	if change.Request == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(change)
	if r.file != nil {
		line, _ := json.Marshal(change)
		_, _ = r.file.Write(append(line, '\n'))
	}
}

func (r *records) add(change run) {
	known := r.runs[change.Request]
	if known == nil {
		known = &run{Request: change.Request, Key: change.Key}
		r.runs[change.Request] = known
	}
	known.Begun += change.Begun
	known.Ended += change.Ended
}

// find returns the runs whose request or key has the value; an empty value returns all.
func (r *records) find(value string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := make([]run, 0)
	for _, known := range r.runs {
		if value == "" || known.Request == value || known.Key == value {
			found = append(found, *known)
		}
	}
	return found
}
