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
	targetPrefix    = "DynamoDB_20120810."
	maxRequestBytes = 16 << 20
)

// Operation returns the protocol operation of a request.
func Operation(r *http.Request) string {
	return strings.TrimPrefix(r.Header.Get("X-Amz-Target"), targetPrefix)
}

// ServeHTTP handles one request of the DynamoDB protocol.
func (t *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		writeResponse(w, http.StatusRequestEntityTooLarge, validationError("the request is too large"))
		return
	}
	if !t.authorized(r) {
		writeResponse(w, http.StatusBadRequest, &protocolError{
			Type:    "com.amazon.coral.service#UnrecognizedClientException",
			Message: "The security token included in the request is invalid.",
		})
		return
	}
	output, err := t.dispatch(Operation(r), body)
	if err != nil {
		writeResponse(w, http.StatusBadRequest, toProtocolError(err))
		return
	}
	writeResponse(w, http.StatusOK, output)
}

func (t *Table) dispatch(operation string, body []byte) (any, error) {
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

// decodeCall rejects unknown parameters, because ignoring one would change the meaning of the request.
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

func writeResponse(w http.ResponseWriter, status int, output any) {
	body, err := json.Marshal(output)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.Header().Set("X-Amz-Crc32", strconv.FormatUint(uint64(crc32.ChecksumIEEE(body)), 10))
	w.WriteHeader(status)
	// The client may have closed the connection.
	_, _ = w.Write(body)
}
