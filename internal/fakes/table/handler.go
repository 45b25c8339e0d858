package table

import (
	"encoding/json"
	"hash/crc32"
	"io"
	"net/http"
	"strconv"
	"strings"
)

const (
	targetPrefix = "DynamoDB_20120810."
	maxRequest   = 16 << 20
)

// Operation returns the protocol operation of a request.
func Operation(r *http.Request) string {
	return strings.TrimPrefix(r.Header.Get("X-Amz-Target"), targetPrefix)
}

// ServeHTTP answers one call of the protocol.
func (t *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
	if err != nil {
		answer(w, http.StatusRequestEntityTooLarge, validationError("the request is too large"))
		return
	}
	if !t.authorized(r) {
		answer(w, http.StatusBadRequest, &protocolError{
			Type:    "com.amazon.coral.service#UnrecognizedClientException",
			Message: "The security token included in the request is invalid.",
		})
		return
	}
	output, err := t.call(Operation(r), body)
	if err != nil {
		answer(w, http.StatusBadRequest, asProtocolError(err))
		return
	}
	answer(w, http.StatusOK, output)
}

func (t *Table) call(operation string, body []byte) (any, error) {
	switch operation {
	case "GetItem":
		return decodeCall(body, func(in keyInput) (any, error) {
			return t.onTable(in.TableName, func() (any, error) { return t.getItem(in) })
		})
	case "PutItem":
		return decodeCall(body, t.putItem)
	case "DeleteItem":
		return decodeCall(body, func(in keyInput) (any, error) {
			return t.onTable(in.TableName, func() (any, error) { return t.deleteItem(in) })
		})
	case "Query":
		return decodeCall(body, func(in queryInput) (any, error) {
			return t.onTable(in.TableName, func() (any, error) { return t.query(in) })
		})
	case "TransactWriteItems":
		return decodeCall(body, func(in transactInput) (any, error) { return t.transactWrite(in) })
	default:
		return nil, &protocolError{Type: "com.amazon.coral.service#UnknownOperationException", Message: "the stand-in does not serve " + operation}
	}
}

func (t *Table) onTable(name string, call func() (any, error)) (any, error) {
	if name != t.config.Table {
		return nil, t.notFound(name)
	}
	return call()
}

// decodeCall refuses parameters that the stand-in does not know, because ignoring one would change the meaning.
func decodeCall[In any](body []byte, call func(In) (any, error)) (any, error) {
	var in In
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&in); err != nil {
		return nil, validationError("%v", err)
	}
	return call(in)
}

func (t *Table) authorized(r *http.Request) bool {
	return t.config.AccessKeyID == "" || strings.Contains(r.Header.Get("Authorization"), "Credential="+t.config.AccessKeyID+"/")
}

func answer(w http.ResponseWriter, status int, output any) {
	body, err := json.Marshal(output)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.Header().Set("X-Amz-Crc32", strconv.FormatUint(uint64(crc32.ChecksumIEEE(body)), 10))
	w.WriteHeader(status)
	// A caller that went away needs no answer.
	_, _ = w.Write(body)
}
