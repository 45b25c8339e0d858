package check

import "fmt"

// Severity says what a node does with a configuration that has the finding.
type Severity string

// The values of Severity.
const (
	// Error means that nodes reject or ignore the configuration, or that it can't do what it says.
	Error Severity = "error"
	// Warning means that a part of the configuration has no effect, or hardly the one that was meant.
	Warning Severity = "warning"
)

// Finding is one thing that is wrong; Place names the entry and Text says what to do.
type Finding struct {
	Severity Severity `json:"severity"`
	Place    string   `json:"place"`
	Text     string   `json:"text"`
}

// findings collects what is wrong at places of a configuration.
type findings []Finding

func (f *findings) errorf(place, format string, values ...any) {
	*f = append(*f, Finding{Severity: Error, Place: place, Text: fmt.Sprintf(format, values...)})
}

func (f *findings) warnf(place, format string, values ...any) {
	*f = append(*f, Finding{Severity: Warning, Place: place, Text: fmt.Sprintf(format, values...)})
}

// Worst returns the worst severity, or an empty one without findings.
func Worst(list []Finding) Severity {
	worst := Severity("")
	for _, f := range list {
		if f.Severity == Error {
			return Error
		}
		worst = f.Severity
	}
	return worst
}
