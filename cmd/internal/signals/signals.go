// Package signals handles the signals that a daemon gets while it starts. kratos
// handles signals only once the servers of its application have started; before, a
// signal would end the process without a graceful stop.
package signals

import (
	"os"
	"os/signal"
	"sync"

	"github.com/apex/log"
	"github.com/go-kratos/kratos/v2"
)

// Catch keeps the signals from ending the process and returns the channel that gets
// them. It is called before anything else in main. Several signals that arrive before
// the channel is read count as one.
func Catch(sigs ...os.Signal) <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, sigs...)
	return signals
}

// StopOn stops the application when a signal arrives, also before its servers have
// started. The application handles later signals itself, so its hooks that run before
// a stop must be wrapped by OnceOnly.
func StopOn(stops <-chan os.Signal, app *kratos.App) {
	go func() {
		<-stops
		if err := app.Stop(); err != nil {
			log.WithError(err).Error("graceful stop failed")
		}
	}()
}

// OnceOnly returns a function that runs f at its first call. Calls meanwhile wait for
// its end, and all calls return its error.
func OnceOnly[T any](f func(T) error) func(T) error {
	var once sync.Once
	var err error
	return func(arg T) error {
		once.Do(func() { err = f(arg) })
		return err
	}
}
