// Package e2e runs the real binaries as processes on loopback ports and checks
// what callers see while processes are killed, frozen and stopped. Its tests
// need Linux.
package e2e
