// Package layers contains only tests. They check which packages each package may
// import, and that the code listings of the embedding guide appear in tested examples.
package layers
