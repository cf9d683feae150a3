package wire

import (
	"encoding/base64"
	"strconv"
	"time"

	"ravendale"
)

// timerToken is the context of an instance's only timer.
const timerToken = "w"

// AppendInstance appends the line that names the instance of the actions that follow.
func AppendInstance(b []byte, instance string) []byte {
	b = append(b, "for i="...)
	b = append(b, instance...)
	return append(b, '\n')
}

// AppendEnd appends the line that ends the reply to a batch.
func AppendEnd(b []byte, frame uint64) []byte {
	b = append(b, "eor frame="...)
	b = strconv.AppendUint(b, frame, 10)
	return append(b, '\n')
}

// AppendAction appends one action as a line.
func AppendAction(b []byte, a *ravendale.Action) []byte {
	switch a.Kind {
	case ravendale.Send:
		b = appendTicket(b, "forward", a.Job)
		b = append(b, " worker="...)
		b = append(b, a.Worker...)
		if a.Wait != 0 {
			b = appendMicros(b, " give-up-after-us=", a.Wait)
		}
	case ravendale.Cancel:
		b = appendTicket(b, "abort_attempt", a.Job)
		b = append(b, " trial="...)
		b = strconv.AppendInt(b, int64(a.Attempt), 10)
	case ravendale.Refuse:
		b = appendTicket(b, "decline", a.Job)
		if a.Wait > 0 {
			b = appendMicros(b, " retry-in-us=", a.Wait)
		}
	case ravendale.Fail:
		b = appendTicket(b, "end_failed", a.Job)
	case ravendale.SetTimer:
		b = appendMicros(b, "notify_me wait-us=", a.Wait)
		b = append(b, " ctx="+timerToken...)
	case ravendale.Probe:
		b = append(b, "health_check worker="...)
		b = append(b, a.Worker...)
	case ravendale.WatchList:
		b = append(b, "stream_changes on=1"...)
	case ravendale.NotifyPeers:
		b = append(b, "broadcast_to dest="...)
		if a.To < 0 {
			b = append(b, "all"...)
		} else {
			b = strconv.AppendInt(b, int64(a.To), 10)
		}
		b = append(b, " blob="...)
		if len(a.Data) == 0 {
			b = append(b, '-')
		}
		b = base64.StdEncoding.AppendEncode(b, a.Data)
	}
	return append(b, '\n')
}

func appendTicket(b []byte, verb string, job ravendale.JobID) []byte {
	b = append(b, verb...)
	b = append(b, " ticket="...)
	return strconv.AppendUint(b, uint64(job), 10)
}

// appendMicros rounds up, so that a timer never fires early.
func appendMicros(b []byte, name string, d time.Duration) []byte {
	b = append(b, name...)
	return strconv.AppendInt(b, int64((d+time.Microsecond-1)/time.Microsecond), 10)
}
