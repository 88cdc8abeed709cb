package objectapi

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/objectapi"
)

// maxWatchWait bounds how long one watch may wait.
const maxWatchWait = time.Minute

type handler struct{ store *Memory }

// Handler serves a Memory as the object API over HTTP, and beside it the
// stand-in's own controls: POST /standin/fault takes Faults (replacing those in
// force), POST /standin/vm a objectapi.VM, DELETE /standin/vm/NAME removes one,
// GET /standin/counts answers Counts.
func Handler(m *Memory) http.Handler {
	h := &handler{store: m}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}/{name}", h.get)
	mux.HandleFunc("GET /objects/{kind}", h.list)
	mux.HandleFunc("POST /objects/{kind}/{name}", h.create)
	mux.HandleFunc("PUT /objects/{kind}/{name}", h.update)
	mux.HandleFunc("DELETE /objects/{kind}/{name}", h.delete)
	mux.HandleFunc("GET /watch", h.watch)
	mux.HandleFunc("POST /standin/fault", h.fault)
	mux.HandleFunc("POST /standin/vm", h.setVM)
	mux.HandleFunc("DELETE /standin/vm/{name}", h.removeVM)
	mux.HandleFunc("GET /standin/counts", h.counts)
	return mux
}

func (h *handler) get(w http.ResponseWriter, r *http.Request) {
	o, err := h.store.Get(r.Context(), r.PathValue("kind"), r.PathValue("name"))
	reply(w, http.StatusOK, o, err)
}

func (h *handler) list(w http.ResponseWriter, r *http.Request) {
	l, err := h.store.List(r.Context(), r.PathValue("kind"), r.URL.Query().Get("prefix"))
	reply(w, http.StatusOK, l, err)
}

func (h *handler) create(w http.ResponseWriter, r *http.Request) {
	data, ok := readValue(w, r)
	if !ok {
		return
	}
	o, err := h.store.Create(r.Context(), r.PathValue("kind"), r.PathValue("name"), data)
	reply(w, http.StatusCreated, o, err)
}

func (h *handler) update(w http.ResponseWriter, r *http.Request) {
	version, ok := readVersion(w, r)
	if !ok {
		return
	}
	data, ok := readValue(w, r)
	if !ok {
		return
	}
	o, err := h.store.Update(r.Context(), r.PathValue("kind"), r.PathValue("name"), data, version)
	reply(w, http.StatusOK, o, err)
}

func (h *handler) delete(w http.ResponseWriter, r *http.Request) {
	version, ok := readVersion(w, r)
	if !ok {
		return
	}
	o, err := h.store.Delete(r.Context(), r.PathValue("kind"), r.PathValue("name"), version)
	reply(w, http.StatusOK, o, err)
}

func (h *handler) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		badRequest(w, "after: "+err.Error())
		return
	}
	ms, err := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err != nil || ms < 0 {
		badRequest(w, "wait_ms: not a number of milliseconds")
		return
	}
	wait := min(time.Duration(ms)*time.Millisecond, maxWatchWait)
	l, err := h.store.Watch(r.Context(), strings.Split(q.Get("kinds"), ","), after, wait)
	reply(w, http.StatusOK, l, err)
}

func (h *handler) fault(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if readStrict(w, r, &f) {
		h.store.SetFaults(f)
		reply(w, http.StatusOK, f, nil)
	}
}

func (h *handler) setVM(w http.ResponseWriter, r *http.Request) {
	var vm objectapi.VM
	if readStrict(w, r, &vm) {
		h.store.SetVM(vm)
		reply(w, http.StatusOK, vm, nil)
	}
}

func (h *handler) removeVM(w http.ResponseWriter, r *http.Request) {
	h.store.RemoveVM(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}

func (h *handler) counts(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, h.store.Counts(), nil)
}

func readVersion(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	v, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		badRequest(w, "If-Match: not a version")
		return 0, false
	}
	return v, true
}

func readValue(w http.ResponseWriter, r *http.Request) (json.RawMessage, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, objectapi.MaxValueBytes))
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		reply(w, 0, nil, objectapi.ErrTooLarge)
		return nil, false
	}
	if err != nil || !json.Valid(data) {
		badRequest(w, "the value is not JSON")
		return nil, false
	}
	return data, true
}

func readStrict(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, objectapi.MaxValueBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		badRequest(w, err.Error())
		return false
	}
	return true
}

// reply writes the answer or the error. A lost answer is a connection that
// closes without one.
func reply(w http.ResponseWriter, status int, body any, err error) {
	if err == nil {
		writeJSON(w, status, body)
		return
	}
	status, code, ok := objectapi.ErrorStatus(err)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, objectapi.ErrorBody{Code: code, Message: err.Error()})
}

func badRequest(w http.ResponseWriter, message string) {
	writeJSON(w, http.StatusBadRequest, objectapi.ErrorBody{Code: objectapi.CodeBadRequest, Message: message})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller is gone; it sees a lost answer.
	_ = json.NewEncoder(w).Encode(body)
}
