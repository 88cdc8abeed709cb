// Package placement chooses the engines that run a prompt: the primary server, which
// answers the request, and helpers, which prefill parts of the prompt. The current time and
// the state of the engines are arguments; the package does no I/O.
package placement
