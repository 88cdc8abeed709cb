// Package placement decides on which engines a prompt runs: the one that answers
// it, and the helpers that read parts of it. It takes time and knowledge of the
// engines as arguments and does no I/O.
package placement
