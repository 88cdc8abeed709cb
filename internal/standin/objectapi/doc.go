// Package objectapi is a small stand-in for the platform's object API: an
// in-memory objectapi.Store with faults that tests switch on, and the HTTP
// server that objectapi.Client talks to. Nothing is kept over a restart.
//
// Rules: every write takes the next store-wide revision; the watch history is
// bounded, so a watch that fell behind gets objectapi.ErrGap; a call is charged
// to the read or the write rate before it runs, and a waiting watch is charged
// one read a second while it waits.
package objectapi
