package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/log/level"
)

type announcement struct {
	Service     string `json:"service"`
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
}

type targetRef struct {
	Service string `json:"service"`
	ID      string `json:"id"`
}

// announce sends announcements to the node at a fixed interval until the context is done.
func (t *target) announce(ctx context.Context) {
	defer close(t.announceDone)
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		t.notifyNode(ctx, "/v1/announce", announcement{
			Service: t.config.Service, ID: t.config.ID, Incarnation: t.incarnation, Address: t.Address(), Slots: t.config.Slots,
		})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (t *target) notifyNode(ctx context.Context, path string, body any) {
	if t.config.Node == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	encoded, err := json.Marshal(body)
	if err != nil {
		return
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.config.Node+path, bytes.NewReader(encoded))
	if err != nil {
		_ = level.Error(t.config.Logger).Log("msg", "malformed node address", "node", t.config.Node, "err", err)
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		if ctx.Err() == nil || strings.Contains(err.Error(), "refused") {
			_ = level.Warn(t.config.Logger).Log("msg", "request to node failed", "path", path, "err", err)
		}
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		_ = level.Warn(t.config.Logger).Log("msg", "node rejected the request", "path", path, "status", response.StatusCode, "answer", string(text))
	}
}
