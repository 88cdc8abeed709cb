package rawserver

import "slices"

// InvalidHeads returns heads of responses that no client may take for an answer, without the empty
// line behind them: with a status that no final response has, and with a line that is no field.
func InvalidHeads() []string {
	return slices.Concat(invalidStatuses, invalidFields)
}

var invalidStatuses = []string{
	"HTTP/1.1 000 OK\r\n",
	"HTTP/1.1 099 OK\r\n",
	"HTTP/1.1 +20 OK\r\n",
	"HTTP/1.1 600 OK\r\n",
	"HTTP/1.1 999 OK\r\n",
	"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n",
}

var invalidFields = []string{
	"HTTP/1.1 200 OK\r\nX Bad: 1\r\n",
	"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX Bad: 1\r\n",
	"HTTP/1.1 404 Not Found\r\nX Bad: 1\r\n",
	"HTTP/1.1 409 Conflict\r\nX Bad: 1\r\n",
	"HTTP/1.1 503 Service Unavailable\r\nX Bad: 1\r\n",
	"HTTP/1.1 200 OK\r\nX-Bad : 1\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
	"HTTP/1.1 200 OK\r\nX-\x01Bad: 1\r\n",
	"HTTP/1.1 200 OK\r\nX-\x7fBad: 1\r\n",
	"HTTP/1.1 200 OK\r\nX-\tBad: 1\r\n",
	"HTTP/1.1 200 OK\r\n: 1\r\n",
	"HTTP/1.1 200 OK\r\nX-Bad\r\n",
	"HTTP/1.1 200 OK\r\n X-Bad: 1\r\n",
	"HTTP/1.1 200 OK\r\nX-Bad: \x00\r\n",
	"HTTP/1.1 200 OK\r\nX-Bad: 1\r2\r\n",
}
