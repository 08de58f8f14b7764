// Package bearer reads bearer credentials from HTTP requests.
package bearer

import (
	"net/http"
	"strings"
)

// scheme is compared without regard to case (RFC 9110, section 11.1).
const scheme = "Bearer "

// Credential returns the bearer credential of a request, or "".
func Credential(r *http.Request) string {
	header := r.Header.Get("Authorization")
	if len(header) < len(scheme) || !strings.EqualFold(header[:len(scheme)], scheme) {
		return ""
	}
	return strings.TrimSpace(header[len(scheme):])
}

// Set adds a bearer credential to a request, unless it is empty.
func Set(r *http.Request, credential string) {
	if credential != "" {
		r.Header.Set("Authorization", scheme+credential)
	}
}
