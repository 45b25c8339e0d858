package agent

import "net/http"

// storedBody collects a response body for the key ledger while it is small enough.
type storedBody struct {
	wanted   bool
	tooLarge bool
	body     []byte
}

func (k *storedBody) add(p []byte) {
	if !k.wanted || k.tooLarge {
		return
	}
	if len(k.body)+len(p) > maxStoredBytes {
		k.tooLarge = true
		k.body = nil
		return
	}
	k.body = append(k.body, p...)
}

func (k *storedBody) response(response *http.Response) *StoredResponse {
	if k.tooLarge {
		return nil
	}
	return &StoredResponse{Status: response.StatusCode, Header: response.Header, Body: k.body}
}
