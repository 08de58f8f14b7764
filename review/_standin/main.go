// Program standin holds the stand-ins and drivers of the review's scripts: the platform's
// store, workers as processes of their own, consumers, and one driver for each case. It is
// built by review/build.sh and is no part of the product.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// A case returns the broken rule's first evidence, or "" if the rule held.
var cases = map[string]func(s *system, trouble bool) string{
	"cut-stream":   cutStream,
	"double-slash": doubleSlash,
	"poison":       poison,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		runWorker(os.Args[2:])
		return
	}
	if len(os.Args) < 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, recordPath string) (code int) {
	var s *system
	defer func() {
		if x := recover(); x != nil {
			fmt.Println("the case could not run:", x)
			code = 2
		}
		if s != nil {
			s.stop()
		}
	}()
	s = startSystem(recordPath)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() { <-interrupted; s.stop(); os.Exit(2) }()
	trouble := os.Getenv("TROUBLE") != "0"
	broken := cases[name](s, trouble)
	if broken != "" {
		s.say("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	s.say("held")
	fmt.Println("held")
	return 0
}
