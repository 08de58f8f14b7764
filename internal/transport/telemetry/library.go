package telemetry

import (
	"fmt"
	stdlog "log"
	"strings"

	"github.com/apex/log"
	kratos "github.com/go-kratos/kratos/v2/log"
)

// libraryPart is the part of lines that libraries write.
const libraryPart = "library"

// redirectLibraries sends the log lines of libraries through the process's
// handler, so that they get the same format and flood control. net/http writes
// to the standard logger, for example when it fails to accept a connection.
func redirectLibraries() {
	kratos.SetLogger(kratosLogger{})
	stdlog.SetFlags(0)
	stdlog.SetOutput(stdWriter{})
}

// kratosLogger implements kratos' Logger.
type kratosLogger struct{}

// Log implements kratos' Logger. The pairs are keys and values: "msg" with
// the text of the message, and fields.
func (kratosLogger) Log(level kratos.Level, pairs ...any) error {
	entry := log.WithField(partField, libraryPart)
	message := ""
	for i := 0; i+1 < len(pairs); i += 2 {
		name, value := fmt.Sprint(pairs[i]), fmt.Sprint(pairs[i+1])
		if name == kratos.DefaultMessageKey {
			message = value
			continue
		}
		entry = entry.WithField(name, value)
	}
	switch level {
	case kratos.LevelDebug:
		entry.Debug(message)
	case kratos.LevelInfo:
		entry.Info(message)
	case kratos.LevelWarn:
		entry.Warn(message)
	default: // kratos ends the process itself after a fatal line
		entry.Error(message)
	}
	return nil
}

// stdWriter receives the lines of the standard logger, which have no level.
type stdWriter struct{}

// Write implements io.Writer.
func (stdWriter) Write(line []byte) (int, error) {
	log.WithField(partField, libraryPart).Warn(strings.TrimSuffix(string(line), "\n"))
	return len(line), nil
}
