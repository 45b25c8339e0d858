package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
)

// Messages of the log lines about a request.
const (
	MsgAnswered = "request answered"
	MsgRelayed  = "request relayed"
	MsgRefused  = "request refused"
)

// maxLineBytes bounds the length of one log line.
const maxLineBytes = 1 << 20

// Line is a log line with a request ID.
type Line struct {
	Msg           string    `json:"msg"`
	ID            string    `json:"id"`
	Node          string    `json:"node"`
	Time          string    `json:"ts"`
	Route         string    `json:"route"`
	Service       string    `json:"service"`
	Target        string    `json:"target"`
	Outcome       string    `json:"outcome"`
	Status        int       `json:"status"`
	Reason        string    `json:"reason"`
	Class         string    `json:"class"`
	Load          string    `json:"load"`
	Duration      string    `json:"took"`
	Remaining     string    `json:"left"`
	Waited        string    `json:"waited"`
	Ran           string    `json:"ran"`
	Configuration uint64    `json:"configuration"`
	MembersAge    string    `json:"members-age"`
	Attempts      []Attempt `json:"tries"`
}

// Attempt is one attempt in the log line of an edge.
type Attempt struct {
	Target   string `json:"target"`
	Node     string `json:"node"`
	Result   string `json:"result"`
	Patience string `json:"patience"`
	Forced   bool   `json:"forced"`
	Duration string `json:"took"`
	Left     string `json:"left-because"`
	Tier     string `json:"tier"`
}

// Read returns the lines with a request ID and the number of lines that are not JSON objects. It skips text before the
// object, such as the prefix of a log collector.
func Read(r io.Reader) (lines []Line, unreadable int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		begin := bytes.IndexByte(text, '{')
		var line Line
		if begin < 0 || json.Unmarshal(text[begin:], &line) != nil {
			if len(bytes.TrimSpace(text)) > 0 {
				unreadable++
			}
			continue
		}
		if line.ID != "" {
			lines = append(lines, line)
		}
	}
	return lines, unreadable, scanner.Err()
}
