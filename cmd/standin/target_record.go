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

// records counts the runs of each request; if written to a file, they survive a crash of the target.
type records struct {
	inFlight atomic.Int64
	total    atomic.Int64
	mu       sync.Mutex
	runs     map[string]*runRecord
	file     *os.File
}

// runRecord counts the started and completed runs of one request.
type runRecord struct {
	Request string `json:"request"`
	Key     string `json:"key"`
	Begun   int    `json:"begun"`
	Ended   int    `json:"ended"`
}

type runsResponse struct {
	InFlight int64       `json:"in-flight"`
	Total    int64       `json:"total"`
	Fault    fault       `json:"fault"`
	Runs     []runRecord `json:"runs"`
}

// open loads the records of earlier processes from the file and opens the file for appending.
func (r *records) open(path string) error {
	r.runs = make(map[string]*runRecord)
	if path == "" {
		return nil
	}
	if err := r.load(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return eris.Wrap(err, "read records; choose another file")
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return eris.Wrap(err, "open records for writing; choose another file")
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
		var change runRecord
		if err := json.Unmarshal(lines.Bytes(), &change); err != nil {
			// A crash may have truncated the last line.
			continue
		}
		r.add(change)
	}
	return lines.Err()
}

func (r *records) begin(request, key string) {
	r.inFlight.Add(1)
	r.total.Add(1)
	r.write(runRecord{Request: request, Key: key, Begun: 1})
}

func (r *records) end(request string, completed bool) {
	r.inFlight.Add(-1)
	if completed {
		r.write(runRecord{Request: request, Ended: 1})
	}
}

func (r *records) write(change runRecord) {
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

func (r *records) add(change runRecord) {
	record := r.runs[change.Request]
	if record == nil {
		record = &runRecord{Request: change.Request, Key: change.Key}
		r.runs[change.Request] = record
	}
	record.Begun += change.Begun
	record.Ended += change.Ended
}

// find returns the records whose request ID or idempotency key equals value, or all records if value is empty.
func (r *records) find(value string) []runRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := make([]runRecord, 0)
	for _, record := range r.runs {
		if value == "" || record.Request == value || record.Key == value {
			found = append(found, *record)
		}
	}
	return found
}
