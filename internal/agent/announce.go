package agent

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/go-kit/log/level"
	"github.com/julienschmidt/httprouter"
	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	maxAnnouncementBytes = 4 << 10
	maxNameBytes         = 128
)

type announcement struct {
	Service     string `json:"service"`
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
}

// Announcement is the content of one heartbeat of a target.
type Announcement struct {
	Service     string
	ID          string
	Incarnation uint64
	Address     string
	Slots       int
	Draining    bool
	// Sequence grows with each heartbeat of one incarnation, so that a delayed heartbeat can be detected.
	Sequence uint64
}

type departure struct {
	Service string `json:"service"`
	ID      string `json:"id"`
}

// LocalHandler returns the handler of the listener for targets on this VM.
func (a *Agent) LocalHandler() http.Handler {
	router := httprouter.New()
	router.POST("/v1/announce", a.serveAnnounce)
	router.POST("/v1/drain", a.serveDrain)
	router.POST("/v1/withdraw", a.serveWithdraw)
	return router
}

func (a *Agent) serveAnnounce(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var body announcement
	if err := a.decode(w, r, &body); err != nil {
		a.refuseAnnouncement(w, http.StatusBadRequest, body.Service, body.ID, err)
		return
	}
	if err := body.validate(); err != nil {
		a.refuseAnnouncement(w, http.StatusBadRequest, body.Service, body.ID, err)
		return
	}
	spec, known := a.serviceSpec(body.Service)
	if !known {
		err := eris.New("no ticket defines this service; file one, or correct the name of the service")
		a.refuseAnnouncement(w, http.StatusNotFound, body.Service, body.ID, err)
		return
	}
	if err := a.applyAnnouncement(body, spec, Announcement{}); err != nil && !errors.Is(err, errUnknown) {
		a.refuseAnnouncement(w, http.StatusConflict, body.Service, body.ID, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *Agent) serveDrain(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	a.serveDeparture(w, r, "target draining", a.drain)
}

func (a *Agent) serveWithdraw(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	a.serveDeparture(w, r, "target withdrawn", func(key targetKey) (bool, error) {
		return true, a.registry.withdraw(key)
	})
}

func (a *Agent) serveDeparture(w http.ResponseWriter, r *http.Request, event string, apply func(targetKey) (bool, error)) {
	var body departure
	if err := a.decode(w, r, &body); err != nil {
		a.refuseAnnouncement(w, http.StatusBadRequest, body.Service, body.ID, err)
		return
	}
	changed, err := apply(targetKey{service: body.Service, id: body.ID})
	if err != nil {
		a.refuseAnnouncement(w, http.StatusNotFound, body.Service, body.ID, err)
		return
	}
	if changed {
		_ = level.Info(a.config.Logger).Log("msg", event, "service", body.Service, "target", body.ID)
		a.publish()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *Agent) decode(w http.ResponseWriter, r *http.Request, body any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(body); err != nil {
		return eris.Wrap(err, "the body must be one JSON object as the design page describes it")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return eris.New("the body holds more than one JSON value; send one object")
	}
	return nil
}

func (b announcement) validate() error {
	switch {
	case !validName(b.Service) || !validName(b.ID):
		return eris.New("service and id must have 1 to 128 letters, digits or any of - _ . :")
	case b.Incarnation == 0:
		return eris.New("incarnation must be above zero and grow with each start of the target")
	case b.Slots < 1 || b.Slots > model.MaxSlots:
		return eris.Errorf("slots must be between 1 and %d", model.MaxSlots)
	}
	return model.CheckAddress(b.Address)
}

func validName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && strings.Trim(name,
		"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:") == ""
}

func (a *Agent) refuseAnnouncement(w http.ResponseWriter, status int, service, id string, err error) {
	_ = level.Warn(a.config.Logger).Log("msg", "announcement refused", "service", service, "target", id, "err", err)
	reason, remedy := splitRemedy(err)
	relay.WriteRefusal(w, relay.Refusal{Status: status, Answer: model.Answer{
		Outcome: model.OutcomeNotRun, Reason: reason, Remedy: remedy,
	}})
}

// splitRemedy splits an error message of the form `what happened; what to do`.
func splitRemedy(err error) (reason, remedy string) {
	reason, remedy, found := strings.Cut(err.Error(), "; ")
	if !found {
		return reason, reason
	}
	return reason, remedy
}
