package ravendale

import (
	"errors"
	"fmt"
)

// validate names the first setting that makes no sense.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return errors.New("Settings.Classes is empty")
	}
	for i, c := range s.Classes {
		if c.Aim < 0 || c.Deadline < 0 || c.Window < 0 || c.Stretch < 0 {
			return fmt.Errorf("Settings.Classes[%d] (%s) has a negative time", i, c.Name)
		}
	}
	switch {
	case s.Dispatchers < 1:
		return errors.New("Settings.Dispatchers is below 1")
	case s.Me < 0 || s.Me >= s.Dispatchers:
		return errors.New("Settings.Me is no index below Settings.Dispatchers")
	case s.Zones < 0 || s.Zone >= s.Zones && s.Zones > 0:
		return errors.New("Settings.Zone is no index below Settings.Zones")
	case s.MaxAttempts < 1:
		return errors.New("Settings.MaxAttempts is below 1")
	case s.Tick < 0 || s.AnswerSlack < 0 || s.DrainGrace < 0 || s.ColdFor < 0 || s.FallSpan < 0:
		return errors.New("Settings has a negative time")
	case s.ColdFrom < 0 || s.ColdFrom > 1:
		return errors.New("Settings.ColdFrom is not between 0 and 1")
	}
	return nil
}
