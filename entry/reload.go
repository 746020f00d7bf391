package entry

import (
	"reflect"
	"time"
)

// settingsPoll is the interval at which the settings are compared with those in
// force: they may change without a signal.
const settingsPoll = 2 * time.Second

// reload reads the settings again and puts into force what can change while the
// process runs: the seeds. Addresses and bounds take a restart, and are told.
func (e *Entry) reload(why string) {
	e.reloading.Lock()
	defer e.reloading.Unlock()
	s, err := e.adapter.LoadSettings()
	if err != nil {
		e.log.Error("settings not reloaded; the ones in force stay", "by", why, "error", err)
		return
	}
	before := e.latest
	if reflect.DeepEqual(s, before) {
		if why == reloadBySignal {
			e.log.Info("settings reloaded", "by", why, "changed", false)
		}
		return
	}
	e.latest = s
	if e.peers != nil {
		e.peers.SetSeeds(s.Seeds)
	}
	rest := s
	rest.Seeds = before.Seeds
	e.log.Info("settings reloaded", "by", why, "changed", true, "seeds", s.Seeds,
		"needs_restart", !reflect.DeepEqual(rest, before))
}

// What a reload is begun by.
const (
	reloadBySignal = "signal"
	reloadByPoll   = "poll"
)

// pollSettings looks for settings that changed without a signal.
func (e *Entry) pollSettings() error {
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	for {
		select {
		case <-e.tomb.Dying():
			return nil
		case <-ticker.C:
			e.reload(reloadByPoll)
		}
	}
}
