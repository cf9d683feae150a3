package main

import (
	"strings"
	"testing"
)

const settings = " salt=5 balancers=2 me=0 ceilings.attempts-cap=3 ceilings.may-cancel=true request-classes.count=1 " +
	"request-classes.0.name=view request-classes.0.effect=idempotent request-classes.0.aim-us=400000 " +
	"request-classes.0.give-up-us=6000000 tick-us=5000"

func startLines(instance string) string {
	return "select i=" + instance + "\nstart" + settings + "\ndirectory_update kind=2 epoch=1 members-list=1\n" +
		"m worker=worker_" + instance[len("scheduler/"):] + " availability=1 heft=1\n"
}

func runHost(t *testing.T, in string) (string, error) {
	t.Helper()
	var out strings.Builder
	err := serve(strings.NewReader(in), &out)
	return out.String(), err
}

func TestReplies(t *testing.T) {
	in := "clock clock-us=1000000 frame=1\nyour_turn\n\n" +
		"clock clock-us=1000000 frame=2\n" + startLines("scheduler/1") + startLines("scheduler/2") + "your_turn\n" +
		"clock clock-us=1005000 frame=3\nselect i=scheduler/2\naccept ticket=77 class=view remaining-us=6000000\n" +
		"select i=scheduler/1\naccept ticket=78 class=view remaining-us=6000000\nyour_turn\n" +
		"clock clock-us=1900000 frame=4\nselect i=scheduler/2\n" +
		"resolved ticket=77 trial=0 worker=worker_2 rc=S duration-us=895000 settled=1\nyour_turn\n" +
		"clock clock-us=2000000 frame=5\nselect i=scheduler/1\nexit\n" + startLines("scheduler/1") + "your_turn\n"
	want := "eor frame=1\neor frame=2\n" +
		"for i=scheduler/2\nforward ticket=77 worker=worker_2\nnotify_me wait-us=5990000 ctx=w\n" +
		"for i=scheduler/1\nforward ticket=78 worker=worker_1\nnotify_me wait-us=5990000 ctx=w\n" +
		"eor frame=3\neor frame=4\neor frame=5\n"
	got, err := runHost(t, in)
	if err != nil {
		t.Fatal(err)
	}
	if got != want {
		t.Errorf("replies:\n%s\nwant:\n%s", got, want)
	}
}

// The replies of an instance must not depend on the other instances in the process.
func TestInstancesAreIndependent(t *testing.T) {
	events := func(instances ...string) string {
		in := "clock clock-us=1000000 frame=1\n"
		for _, i := range instances {
			in += startLines(i)
		}
		in += "your_turn\nclock clock-us=1005000 frame=2\n"
		for _, i := range instances {
			in += "select i=" + i + "\naccept ticket=7 class=view remaining-us=6000000\n"
		}
		return in + "your_turn\n"
	}
	both, err := runHost(t, events("scheduler/1", "scheduler/2"))
	if err != nil {
		t.Fatal(err)
	}
	for _, i := range []string{"scheduler/1", "scheduler/2"} {
		alone, err := runHost(t, events(i))
		if err != nil {
			t.Fatal(err)
		}
		_, own, _ := strings.Cut(alone, "eor frame=1\n")
		own = strings.TrimSuffix(own, "eor frame=2\n")
		if own == "" || !strings.Contains(both, own) {
			t.Errorf("reply of %s alone:\n%s\nis missing from the reply of both:\n%s", i, own, both)
		}
	}
}

func TestNoPartialReplyOnError(t *testing.T) {
	for name, in := range map[string]string{
		"malformed":        "clock clock-us=1 frame=1\n" + startLines("scheduler/1") + "accept ticket=x\nyour_turn\n",
		"no your_turn":     "clock clock-us=1 frame=1\n" + startLines("scheduler/1"),
		"unknown instance": "clock clock-us=1 frame=1\nselect i=scheduler/9\nreminder ctx=w\nyour_turn\n",
		"no classes":       "clock clock-us=1 frame=1\nselect i=scheduler/9\nstart salt=1 balancers=1\nyour_turn\n",
	} {
		out, err := runHost(t, in)
		if err == nil || out != "" {
			t.Errorf("%s: wrote %q with error %v, want nothing and an error", name, out, err)
		}
	}
}
