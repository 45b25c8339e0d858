package agent

import "net/http"

// keptBody holds the body of an answer for the ledger, as long as it is small enough.
type keptBody struct {
	wanted   bool
	tooLarge bool
	body     []byte
}

func (k *keptBody) add(p []byte) {
	if !k.wanted || k.tooLarge {
		return
	}
	if len(k.body)+len(p) > maxAnswerBytes {
		k.tooLarge = true
		k.body = nil
		return
	}
	k.body = append(k.body, p...)
}

func (k *keptBody) answer(response *http.Response) *StoredResponse {
	if k.tooLarge {
		return nil
	}
	return &StoredResponse{Status: response.StatusCode, Header: response.Header, Body: k.body}
}
