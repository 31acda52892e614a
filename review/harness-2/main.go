// Command harness-2 plays the scripts of the second review: it starts masticspard processes between stand-ins of the
// platform and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a script.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

func main() {
	cases := map[string]func(*site, bool) (bool, error){"foreign-entry": foreignEntry}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-2 CASE FOLDER")
		os.Exit(couldNot)
	}
	s, err := newSite(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		for _, d := range s.allDaemons() {
			d.kill()
		}
		os.Exit(couldNot)
	}()
	ok, err := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	verdict, code := "held", held
	switch {
	case err != nil:
		verdict, code = "could not run: "+err.Error(), couldNot
	case !ok:
		verdict, code = "broken", broken
	}
	s.record.printf("the rule: %s", verdict)
	s.end()
	fmt.Println(verdict)
	os.Exit(code)
}
