package gateway

import (
	"context"
	"time"

	"github.com/sesameswitch/sesameswitch/directory"
	"github.com/sesameswitch/sesameswitch/storeera"
)

// SoleVersion returns whether all servers of the service had the same software version
// during the span before now, and which one. It does not know if the view is old.
func (v *View) SoleVersion(service string, span time.Duration) (string, directory.Versions) {
	version, versions := v.directory.SoleVersion(time.Unix(0, int64(v.elapsed())), service, span)
	if versions == directory.OneVersion && v.Age() > maxVersionsViewAge {
		return "", directory.VersionsUnknown
	}
	return version, versions
}

// versionRead is a read of the changes that the view has not applied yet.
type versionRead struct {
	changes []directory.Change
	// start is when the read began.
	start time.Duration
}

// ConfirmSoleVersion reports whether the store, read after the call began, shows no server of
// the service with another software version that the view lacks. The view may be behind by a
// watch, or by the time for which this process did not run; a stream may have begun meanwhile,
// through another gateway, at a server that has just joined. It fails if the store
// cannot be read within refreshTimeout.
func (v *View) ConfirmSoleVersion(ctx context.Context, service, version string, span time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	read, err := v.readVersions(ctx)
	if err != nil {
		return false
	}
	for _, c := range read.changes {
		if c.Server != nil && c.Server.Service == service && c.Server.SoftwareVersion != version {
			return false
		}
	}
	// What the read lacks was applied before it, perhaps after the caller's conclusion.
	sole, versions := v.directory.SoleVersion(time.Unix(0, int64(v.elapsed())), service, span)
	return versions == directory.VersionsUnknown || versions == directory.OneVersion && sole == version
}

// readVersions reads the changes that the view has not applied. The read, which several callers
// may share, begins after the call.
func (v *View) readVersions(ctx context.Context) (versionRead, error) {
	called := v.elapsed()
	for {
		shared := v.versionReads.DoChan("versions", func() (any, error) {
			ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
			defer cancel()
			start := v.elapsed()
			delta, err := v.store.Watch(ctx, v.directory.Revision(), checkWait)
			if err == nil && v.observeEra(delta.Era) != storeera.Current {
				err = errOtherEra
			}
			if err != nil {
				v.observeError(err)
				v.reconnect(err)
				return versionRead{}, err
			}
			return versionRead{delta.ServerChanges, start}, nil
		})
		select {
		case <-ctx.Done():
			return versionRead{}, ctx.Err()
		case result := <-shared:
			if result.Err != nil {
				v.log.WithError(result.Err).WithField("event", "versions_unconfirmed").Info("the store could not be read to confirm that one software version serves")
				return versionRead{}, result.Err
			}
			if read := result.Val.(versionRead); read.start >= called {
				return read, nil
			}
		}
	}
}
