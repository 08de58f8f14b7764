// Package golden has only tests. They compare messages and stored rows, with
// every field set, with the bytes in testdata, which processes of earlier
// builds wrote.
package golden
