// Package fault injects faults into the stand-ins of the table service and the object store.
//
// Usage:
//
//	faults := fault.New()
//	server := &http.Server{Handler: faults.Wrap("table", operationOf, tableHandler)}
//	control := &http.Server{Handler: faults.Control()}
//
// The control endpoint serves `PUT /v1/faults` with a JSON list of rules, `GET /v1/faults`, `DELETE /v1/faults` and
// `GET /v1/counters`.
package fault
