package service_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"github.com/briarturn/briarturn/engine"
	"github.com/briarturn/briarturn/internal/standin/service"
)

func start(t *testing.T) (*service.Server, *engine.Client) {
	t.Helper()
	s, address, err := service.Start()
	if err != nil {
		t.Fatal(err)
	}
	c := engine.New(engine.Config{Address: address})
	t.Cleanup(func() { c.Close(); s.Close() })
	return s, c
}

func confirm(t *testing.T, c *engine.Client, key, body string) (*engine.ServiceResponse, error) {
	r := &engine.ServiceRequest{Method: http.MethodPost, Path: "/confirm?game=7", Header: http.Header{"Idempotency-Key": {key}}}
	if body != "" {
		r.Body, r.ContentLength = strings.NewReader(body), int64(len(body))
	}
	resp, err := c.Service(t.Context(), r)
	if err == nil {
		t.Cleanup(func() { _ = resp.Body.Close() })
	}
	return resp, err
}

func TestEchoAndCount(t *testing.T) {
	s, c := start(t)
	for run := 1; run <= 2; run++ {
		resp, err := confirm(t, c, "k", "yes")
		if err != nil {
			t.Fatal(err)
		}
		var got service.Echo
		if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
			t.Fatal(err)
		}
		if got.Key != "k" || got.Run != run || got.Path != "/confirm?game=7" || got.BodyHash == "" {
			t.Errorf("%+v", got)
		}
	}
	if diff := cmp.Diff(map[string]int{"k": 2}, s.Runs()); diff != "" {
		t.Error(diff)
	}
}

// Symptom: one confirmation runs twice in the service, with one call made.
// Sequence: the service runs the call on a kept connection, which breaks before
// the answer. Cause: net/http replays a request without a body that carries an
// Idempotency-Key.
func TestLostAnswerIsNotSentAgain(t *testing.T) {
	for _, body := range []string{"", "yes"} {
		s, c := start(t)
		if resp, err := confirm(t, c, "warm", ""); err != nil {
			t.Fatal(err)
		} else if err := json.NewDecoder(resp.Body).Decode(&service.Echo{}); err != nil {
			t.Fatal(err)
		}
		s.SetFaults(service.Faults{LoseAnswer: 1})
		_, err := confirm(t, c, "k", body)
		if !errors.Is(err, engine.ErrBroken) {
			t.Errorf("body %q: %v", body, err)
		}
		if n := s.Runs()["k"]; n != 1 {
			t.Errorf("body %q: ran %d times", body, n)
		}
	}
}

func TestFaults(t *testing.T) {
	s, c := start(t)
	s.SetFaults(service.Faults{Error: 0.5})
	var statuses []int
	for range 4 {
		resp, err := confirm(t, c, "k", "x")
		if err != nil {
			t.Fatal(err)
		}
		statuses = append(statuses, resp.Status)
	}
	if diff := cmp.Diff([]int{200, 500, 200, 500}, statuses); diff != "" {
		t.Error(diff)
	}
	s.Die()
	if _, err := confirm(t, c, "dead", "x"); !errors.Is(err, engine.ErrNotRun) && !errors.Is(err, engine.ErrBroken) {
		t.Errorf("dead: %v", err)
	}
	if _, err := confirm(t, c, "dead", "x"); !errors.Is(err, engine.ErrNotRun) {
		t.Errorf("dead: %v", err)
	}
	s.Recover()
	if resp, err := confirm(t, c, "alive", ""); err != nil || resp.Status != 200 {
		t.Errorf("after recovery: %v", err)
	}
	if s.Runs()["dead"] != 0 || s.Runs()["alive"] != 1 {
		t.Errorf("runs %v", s.Runs())
	}
}
