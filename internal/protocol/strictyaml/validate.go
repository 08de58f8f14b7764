package strictyaml

import (
	"errors"
	"fmt"
	"net/netip"
	"path"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
)

// inlineName is the name of an embedded struct in the validator's namespaces.
// faultPath removes it.
const inlineName = "~inline"

// Validate tags of this package's checks, in addition to those of the validator
// library.
const (
	tagAddress  = "ipport"   // IP:port that others connect to
	tagListen   = "listen"   // IP:port to listen on; port 0 picks a free one
	tagName     = "name"     // usable in row keys and URL paths
	tagVersion  = "version"  // a name that may have upper-case letters and plus signs
	tagInstance = "instance" // letters, digits and dashes
	tagURLPath  = "urlpath"  // clean path of a route
)

var (
	namePattern     = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$`)
	versionPattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._+-]{0,63}$`)
	urlPathPattern  = regexp.MustCompile(`^/[A-Za-z0-9._~/-]{0,255}$`)
	instancePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9-]{0,61}[A-Za-z0-9])?$`)
)

var structValidator = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		if tag := field.Tag.Get("yaml"); tag != inlineOption {
			return tag
		}
		return inlineName
	})
	register(v, tagAddress, IsAddress)
	register(v, tagListen, isListenAddress)
	register(v, tagName, namePattern.MatchString)
	register(v, tagVersion, versionPattern.MatchString)
	register(v, tagInstance, instancePattern.MatchString)
	register(v, tagURLPath, isURLPath)
	return v
}

func register(v *validator.Validate, tag string, ok func(string) bool) {
	check := func(field validator.FieldLevel) bool { return ok(field.Field().String()) }
	if err := v.RegisterValidation(tag, check); err != nil {
		panic(fmt.Sprintf("check %s: %v", tag, err))
	}
}

// IsAddress reports whether the text is an IP:port that others can connect to.
func IsAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0 && !address.Addr().IsUnspecified()
}

func isListenAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

func isURLPath(text string) bool {
	return urlPathPattern.MatchString(text) && path.Clean(text) == text
}

// Validate checks the struct against its validate tags and records the faults. It
// does nothing if the file has maxFaults faults already.
func (f *File) Validate(decoded any) {
	if len(f.faults) == maxFaults {
		return
	}
	var found validator.ValidationErrors
	if !errors.As(structValidator.Struct(decoded), &found) {
		return
	}
	for _, fault := range found {
		f.Add(faultPath(fault.Namespace()), "%s", message(fault))
	}
}

// faultPath converts a validator namespace to a path: it removes the names of the
// root struct and of embedded structs.
func faultPath(namespace string) string {
	_, path, _ := strings.Cut(namespace, ".")
	return strings.ReplaceAll(path, inlineName+".", "")
}

// message describes the allowed values and the value in the file.
func message(fault validator.FieldError) string {
	switch fault.Tag() {
	case "required":
		return "is required"
	case "required_with":
		return fmt.Sprintf("is required because %s is set", strings.ToLower(fault.Param()))
	}
	allowed := allowedBy(fault)
	if fault.Kind() == reflect.Slice {
		return "must have " + allowed
	}
	return fmt.Sprintf("must be %s, not %q", allowed, fmt.Sprint(reflect.Indirect(reflect.ValueOf(fault.Value()))))
}

func allowedBy(fault validator.FieldError) string {
	param := fault.Param()
	switch fault.Tag() {
	case tagAddress:
		return "an IP:port such as 10.0.0.1:8080"
	case tagListen:
		return "an IP:port to listen on, such as 0.0.0.0:8080"
	case tagName:
		return "1 to 64 lower-case letters, digits, dots, dashes or underscores, starting and ending with a letter or digit"
	case tagVersion:
		return "1 to 64 letters, digits, dots, dashes, underscores or plus signs"
	case tagInstance:
		return "1 to 63 letters, digits or dashes, starting and ending with a letter or digit"
	case "oneof":
		return "one of " + strings.Join(strings.Fields(param), ", ")
	case "unique":
		return "no entry twice"
	case "min", "gte":
		return "at least " + boundText(fault, param)
	case "max", "lte":
		return "at most " + boundText(fault, param)
	case "http_url":
		return "a URL such as http://10.0.0.1:7000"
	case tagURLPath:
		return "a path such as /records, without query, empty or dot segments and closing slash"
	case "datetime":
		return "a time in RFC 3339 such as 2026-11-01T18:00:00Z"
	case "sha256":
		return "a SHA-256 in 64 lower-case hexadecimal digits"
	}
	return fmt.Sprintf("valid for the check %s %s", fault.Tag(), param)
}

// boundText returns a bound with its unit.
func boundText(fault validator.FieldError, param string) string {
	if fault.Kind() == reflect.Slice {
		return fmt.Sprintf("%s list entries", param)
	}
	return param
}
