package note

import (
	"maps"
	"net/netip"
	"regexp"
	"slices"
	"time"

	"bergamotworks/fault"
)

const (
	maxStages               = 6    // Of a pipeline or a route.
	maxConcurrentCalls      = 4096 // To one target.
	maxTokens               = 1 << 17
	maxPriority             = 100
	maxAccountWeight        = 1000
	maxDurationMS           = int64(7 * 24 * time.Hour / time.Millisecond)
	maxDomainDelayMS        = 10000
	maxWarmUpCalls          = 1 << 20
	shareTolerance          = 1e-9 // Rounding error of a sum of shares.
	minBodyBytes            = 1 << 10
	maxBodyBytes            = 64 << 20
	maxRetentionMS          = int64(24 * time.Hour / time.Millisecond)
	maxClockSkewMS          = int64(time.Hour / time.Millisecond)
	maxStoreCallsPerSecond  = 100000
	maxLedgerShards         = 64
	maxWeightLoadsPerMinute = 100000
	minRetentionMS          = 1000
	systemLimits            = "system"
	keyHashExpr             = `^[0-9a-f]{64}$`
	nameExpr                = `^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`
	versionExpr             = `^[A-Za-z0-9][A-Za-z0-9_.+-]{0,62}$`
)

var (
	// nameRegexp matches a name: 1 to 63 letters, digits, hyphens or
	// underscores, of which the first is a letter or digit.
	nameRegexp    = regexp.MustCompile(nameExpr)
	keyHashRegexp = regexp.MustCompile(keyHashExpr)
	versionRegexp = regexp.MustCompile(versionExpr)
)

// Check returns the first error in a configuration, in the order of its
// sections and names. The error is of kind fault.Invalid and names the path of
// the object or field.
func Check(config Config) error {
	s := config.Sections
	checks := []func() error{
		func() error { return checkEach("domains", s.Domains, checkDomain) },
		func() error { return checkEach("services", s.Services, checkService) },
		func() error { return checkEach("targets", s.Targets, s.checkTarget) },
		s.checkAddressConflicts,
		func() error { return checkEach("classes", s.Classes, checkClass) },
		s.checkShareSum,
		func() error { return checkEach("pipelines", s.Pipelines, s.checkPipeline) },
		func() error { return checkEach("accounts", s.Accounts, checkAccount) },
		func() error { return checkEach("objectives", s.Objectives, s.checkObjective) },
		func() error { return checkEach("orders", s.Orders, s.checkOrder) },
		s.checkOrderConflicts,
		func() error { return checkEach("limits", s.Limits, checkLimits) },
		func() error { return checkEach("routes", s.Routes, s.checkRoute) },
		s.checkRouteConflicts,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkEach checks the objects of one section in the order of their names.
func checkEach[T any](section string, objects map[string]T, check func(path string, object T) error) error {
	for _, name := range sortedNames(objects) {
		if !nameRegexp.MatchString(name) {
			return fault.InvalidField(section, "%q is no valid name", name)
		}
		if err := check(join(section, name), objects[name]); err != nil {
			return err
		}
	}
	return nil
}

func checkDomain(path string, d FailureDomain) error {
	if d.State != InService && d.State != OutOfService {
		return fault.InvalidField(join(path, "state"), "a failure domain is in_service or out_of_service")
	}
	return checkRange(join(path, "delay_ms"), d.DelayMS, 0, maxDomainDelayMS)
}

func checkService(path string, s Service) error {
	if !s.Kind.IsAStageKind() {
		return fault.InvalidField(join(path, "kind"), "unknown kind")
	}
	if s.Kind == Generate && s.Model == "" {
		return fault.InvalidField(join(path, "model"), "missing for a generate service")
	}
	if s.Batch != nil {
		if err := s.Batch.check(join(path, "batch")); err != nil {
			return err
		}
	}
	return firstError(
		checkRange(join(path, "warm_limit"), s.WarmLimit, 1, maxConcurrentCalls),
		checkRange(join(path, "cold_limit"), s.ColdLimit, 1, s.WarmLimit),
		checkRange(join(path, "typical_ms"), s.TypicalMS, 1, maxDurationMS),
		checkRange(join(path, "warm_up_calls"), s.WarmUpCalls, 0, maxWarmUpCalls),
		checkRange(join(path, "idle_cold_ms"), s.IdleColdMS, 0, maxDurationMS),
	)
}

// ValidVersion reports whether a text may be the version of a target: 1 to 63 letters,
// digits, hyphens, underscores, dots or plus signs, of which the first is a letter or digit.
func ValidVersion(version string) bool { return versionRegexp.MatchString(version) }

func (s Sections) checkTarget(path string, t Target) error {
	if !t.State.IsAState() {
		return fault.InvalidField(join(path, "state"), "unknown state")
	}
	if t.Version != "" && !ValidVersion(t.Version) {
		return fault.InvalidField(join(path, "version"), "%q is no valid version", t.Version)
	}
	address, err := netip.ParseAddrPort(t.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		return fault.InvalidField(join(path, "address"), "%q is no IP number with a port", t.Address)
	}
	return firstError(
		checkReference(join(path, "service"), "service", t.Service, s.Services),
		checkReference(join(path, "domain"), "failure domain", t.Domain, s.Domains),
	)
}

// checkAddressConflicts returns an error if two targets have the same address.
func (s Sections) checkAddressConflicts() error {
	targets := map[string]string{}
	for _, name := range sortedNames(s.Targets) {
		address := s.Targets[name].Address
		if other, ok := targets[address]; ok {
			return fault.InvalidField("targets."+name+".address", "%s is the address of target %s", address, other)
		}
		targets[address] = name
	}
	return nil
}

func checkClass(path string, c Class) error {
	return firstError(
		checkRange(join(path, "priority"), c.Priority, 0, maxPriority),
		checkRange(join(path, "share"), c.Share, 0, 1),
	)
}

func (s Sections) checkShareSum() error {
	sum := 0.0
	for _, name := range sortedNames(s.Classes) {
		sum += s.Classes[name].Share
		if sum > 1+shareTolerance {
			return fault.InvalidField("classes."+name+".share", "the shares of all classes exceed 1")
		}
	}
	return nil
}

func checkAccount(path string, a ClientAccount) error {
	if a.Weight <= 0 || a.Weight > maxAccountWeight {
		return fault.InvalidField(join(path, "weight"), "must be above 0 and at most %d", maxAccountWeight)
	}
	if a.KeyHash != "" && !keyHashRegexp.MatchString(a.KeyHash) {
		return fault.InvalidField(join(path, "key_hash"), "want 64 lower-case hexadecimal digits")
	}
	return nil
}

// checkLimits checks the limits of the system; zero means the default.
func checkLimits(path string, l Limits) error {
	if path != join("limits", systemLimits) {
		return fault.InvalidField(path, "the only name is %q", systemLimits)
	}
	return firstError(
		checkZeroOrRange(join(path, "max_body_bytes"), l.MaxBodyBytes, minBodyBytes, maxBodyBytes),
		checkZeroOrRange(join(path, "retention_ms"), l.RetentionMS, minRetentionMS, maxRetentionMS),
		checkZeroOrRange(join(path, "clock_skew_ms"), l.ClockSkewMS, 1, maxClockSkewMS),
		checkZeroOrRange(join(path, "retry_share"), l.RetryRatio, 0, 1),
		checkZeroOrRange(join(path, "store_calls_per_second"), l.StoreCallsPerSecond, 1, maxStoreCallsPerSecond),
		checkZeroOrRange(join(path, "ledger_shards"), l.LedgerShards, 1, maxLedgerShards),
		checkZeroOrRange(join(path, "weight_loads_per_minute"), l.WeightLoadsPerMinute, 1, maxWeightLoadsPerMinute),
	)
}

func checkZeroOrRange[T int | int64 | float64](path string, value, low, high T) error {
	if value == 0 {
		return nil
	}
	return checkRange(path, value, low, high)
}

// sortedNames returns the sorted names of objects.
func sortedNames[T any](objects map[string]T) []string {
	return slices.Sorted(maps.Keys(objects))
}

func checkRange[T int | int64 | float64](path string, value, low, high T) error {
	if value >= low && value <= high {
		return nil
	}
	return fault.InvalidField(path, "must be from %v to %v", low, high)
}

func checkReference[T any](path, kind, name string, objects map[string]T) error {
	if name == "" {
		return fault.InvalidField(path, "missing")
	}
	if _, ok := objects[name]; !ok {
		return fault.InvalidField(path, "%s %q does not exist", kind, name)
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
