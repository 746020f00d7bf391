package daemon

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/platform"
	"github.com/goldcrestmux/goldcrestmux/settings"
	"gopkg.in/tomb.v2"
)

// follower reads the configuration service and the VM list.
type follower struct {
	log         *slog.Logger
	config      *platform.Config
	vms         *platform.VMs
	poll        time.Duration
	onContracts func(*folder.Contracts)
	onView      func(platform.VMList, time.Time)
}

// watchWait is how long one watch waits for a newer revision.
const watchWait = 20 * time.Second

func newFollower(s *settings.Settings, log *slog.Logger) *follower {
	return &follower{
		log:    log,
		config: platform.NewConfig(platform.ClientOptions{Address: host(s.FolderURLs[0]), DataCentre: s.DataCentre}),
		vms:    platform.NewVMs(platform.ClientOptions{Address: host(s.VMListURL), DataCentre: s.DataCentre}),
		poll:   s.VMListPoll,
	}
}

func host(url string) string { return strings.TrimPrefix(url, "http://") }

func (f *follower) start(t *tomb.Tomb) {
	ctx := t.Context(context.Background())
	t.Go(func() error { return f.followFolder(ctx) })
	t.Go(func() error { return f.followVMs(ctx) })
}

func (f *follower) followFolder(ctx context.Context) error {
	var revision uint64
	for ctx.Err() == nil {
		manifest, changed, err := f.config.Watch(ctx, revision, watchWait)
		if err == nil && changed && manifest.Revision > revision {
			err = f.load(ctx, manifest)
			if err == nil {
				revision = manifest.Revision
			}
		}
		if err != nil {
			f.log.Warn("folder can't be read", "error", err)
			sleep(ctx, f.poll)
		}
	}
	return nil
}

func (f *follower) load(ctx context.Context, manifest platform.Manifest) error {
	var files []folder.File
	for _, m := range manifest.Files {
		data, err := f.config.File(ctx, m)
		if err != nil {
			return err
		}
		files = append(files, folder.File{Name: m.Name, Data: data})
	}
	merged, err := folder.Load(files)
	if err != nil {
		return err
	}
	f.log.Info("folder in force", "revision", manifest.Revision)
	f.onContracts(merged.Contracts)
	return nil
}

func (f *follower) followVMs(ctx context.Context) error {
	for ctx.Err() == nil {
		asOf := time.Now()
		list, err := f.vms.List(ctx)
		if err != nil {
			f.log.Warn("VM list can't be read", "error", err)
		} else {
			f.onView(list, asOf)
		}
		sleep(ctx, f.poll)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
