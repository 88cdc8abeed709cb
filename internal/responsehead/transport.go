package responsehead

import (
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper that returns ErrInvalid for a response with an invalid head and
// closes its connection.
type Transport struct {
	Base *http.Transport
}

// CloseIdleConnections closes the idle connections of Base. http.Client looks for this method.
func (t Transport) CloseIdleConnections() { t.Base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn // the last one, if Base repeats the request
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn }}
	response, err := t.Base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := Check(response.StatusCode, response.Header); err != nil {
		if conn != nil {
			_ = conn.Close()
		}
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}
