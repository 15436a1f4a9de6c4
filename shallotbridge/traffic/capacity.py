"""Learns how many concurrent requests an upstream handles well.

Concurrency and duration rise together for many reasons: an upstream that is
slow for another reason has more requests running. Only a change of the limit
itself shows the cause. The estimator therefore alternates between two limits
for short blocks of time (a switchback experiment) and compares the durations
of requests that were granted a slot in either kind of block. A rise of the
durations at full concurrency above those at low concurrency starts such a
trial, but never changes the limit. A trial that shows nothing ends with the
higher limit.

The module starts no tasks and reads no clock: callers pass the current time.
The load that it responds to is the saturation of the upstream.
"""

import math

# The state of the upstream is checked at this interval.
PERIOD_SECONDS = 0.4
# A trial starts after at least this many periods of elevated durations, and
# considers at most the second number of them. Known upstreams are slow for
# 0.6 s at times for other reasons.
ELEVATED_PERIODS = 3
MAXIMUM_ELEVATED_PERIODS = 8
# Without durations at low concurrency a trial that only measures them starts
# after so many periods of overload, in which the requests saw this fraction of
# the limit. Upstreams below overload have requests at low concurrency sooner
# or later.
BLIND_PERIODS = 12
OVERLOAD_RATIO = 0.95
# Duration relative to that at low concurrency from which a period counts as
# elevated, the same for all such periods together, and the standard errors by
# which these must exceed it.
PERIOD_ELEVATION_RATIO = 1.25
ELEVATION_RATIO = 1.4
ELEVATION_CONFIDENCE = 3.0
# Durations at low concurrency that are known after this many requests.
MINIMUM_LOW_SAMPLES = 10
BASELINE_SMOOTHING_FACTOR = 0.03
# A period is saturated if its requests saw this fraction of the limit.
SATURATION_RATIO = 0.75
MINIMUM_PERIOD_SAMPLES = 4
# Low concurrency is at most this fraction of the limit.
LOW_RATIO = 0.5
# Length of the blocks of a trial, as a multiple of the mean duration and its
# bounds. A request granted in one block should mostly run in it.
BLOCK_DURATION_FACTOR = 2.0
MINIMUM_BLOCK_SECONDS = 0.2
MAXIMUM_BLOCK_SECONDS = 0.5
# Most blocks of a trial of a higher limit, of one that only measures, and of
# one of a lower limit, which costs callers most when it is needless.
MAXIMUM_BLOCKS = 16
MAXIMUM_BLIND_BLOCKS = 4
MAXIMUM_REDUCTION_BLOCKS = 5
MINIMUM_TRIAL_SAMPLES = 8
# A lower limit is chosen only if so many blocks in succession agree.
MINIMUM_CONSISTENT_BLOCKS = 3
# Durations that are proportional to the concurrency (elasticity 1) show that
# the higher limit gains no throughput.
REDUCTION_ELASTICITY = 0.6
CONFIRMATION_ELASTICITY = 0.6
# Standard errors by which a reduction must exceed half of its elasticity.
REDUCTION_CONFIDENCE = 1.5
CONFIRMATION_CONFIDENCE = 1.0
# Standard errors by which the opposite ends a trial early.
REJECTION_CONFIDENCE = 1.5
# The two limits must lead to concurrencies that differ at least by this ratio.
MINIMUM_CONCURRENCY_RATIO = 1.1
# Relative variance assumed at least for durations of few requests.
MINIMUM_RELATIVE_VARIANCE = 0.25
# Longer durations, relative to the usual one, count as this much, so that a
# few long requests decide nothing.
MAXIMUM_RELATIVE_DURATION = 8.0
# Interval between trials; doubled by each that confirms the limit.
MINIMUM_TRIAL_INTERVAL_SECONDS = 5.0
MAXIMUM_UPWARD_INTERVAL_SECONDS = 16.0
MAXIMUM_DOWNWARD_INTERVAL_SECONDS = 64.0
# A trial without a result, for lack of requests, is repeated after this time.
INCONCLUSIVE_INTERVAL_SECONDS = 1.5
# The limit rises by one without a trial if none has confirmed it this long.
MAXIMUM_EVIDENCE_SECONDS = 30.0
# Weight of the newest duration in the averages.
SMOOTHING_FACTOR = 0.1
# The same for the service's usual duration, which other nodes tell.
USUAL_SMOOTHING_FACTOR = 0.05
# Weight of earlier durations in the slowdown.
SLOWDOWN_RETENTION = 0.95
# Half-life of what is known about the slowdown without new durations.
SLOWDOWN_HALF_LIFE_SECONDS = 2.0
# A request that has not ended counts once it has taken this multiple of its
# expected duration; two in 100 take longer without a cause.
RUNNING_DURATION_FACTOR = 3.0
# Number of usual durations with which the slowdown begins.
PRIOR_WEIGHT = 2.0


class _Arm:
    """Durations of the requests that were granted at one of two limits."""

    __slots__ = ("count", "total", "squares", "concurrency")

    def __init__(self):
        self.count = 0
        self.total = 0.0
        self.squares = 0.0
        self.concurrency = 0.0

    def add(self, value, concurrency):
        self.count += 1
        self.total += value
        self.squares += value * value
        self.concurrency += concurrency

    def add_all(self, other):
        self.count += other.count
        self.total += other.total
        self.squares += other.squares
        self.concurrency += other.concurrency

    @property
    def mean(self):
        return self.total / self.count

    def relative_error(self):
        """Return the squared standard error of the mean, relative to it."""
        variance = self.squares / self.count / self.mean**2 - 1.0
        return max(variance, MINIMUM_RELATIVE_VARIANCE) / self.count


def _sum(arms):
    result = _Arm()
    for arm in arms:
        result.add_all(arm)
    return result


class _Trial:
    """A comparison of two limits in alternating blocks of time."""

    def __init__(
        self, *, low, high, seconds_by_route, now, is_reduction, is_blind
    ):
        self.low = low
        self.high = high
        self.is_reduction = is_reduction
        self.is_blind = is_blind
        self.seconds_by_route = seconds_by_route
        # Start, whether the higher limit applies, and durations of the blocks.
        self.blocks = [(now, False, _Arm())]

    @property
    def limit(self):
        return self.high if self.blocks[-1][1] else self.low

    def begin_block(self, now):
        is_high = not (self.is_blind or self.blocks[-1][1])
        self.blocks.append((now, is_high, _Arm()))

    def add(self, route, seconds, concurrency, now):
        usual = self.seconds_by_route.setdefault(route, seconds)
        granted_at = now - seconds
        for started_at, _, arm in reversed(self.blocks):
            if granted_at >= started_at:
                arm.add(
                    min(seconds / usual, MAXIMUM_RELATIVE_DURATION),
                    concurrency,
                )
                return

    def compare(self):
        """Return (elasticity, its standard error, samples), or None.

        The newest block is left out: its long requests have not ended.
        """
        low, high = _Arm(), _Arm()
        for _, is_high, arm in self.blocks[:-1]:
            (high if is_high else low).add_all(arm)
        if min(low.count, high.count) < MINIMUM_TRIAL_SAMPLES:
            return None
        ratio = (high.concurrency / high.count) / (low.concurrency / low.count)
        if ratio < MINIMUM_CONCURRENCY_RATIO:
            return None
        scale = 1.0 / math.log(ratio)
        error = math.sqrt(low.relative_error() + high.relative_error())
        return (
            math.log(high.mean / low.mean) * scale,
            error * scale,
            low.count + high.count,
        )

    def is_consistent(self):
        """Return whether each block agrees with its neighbors.

        A change of the upstream that coincides with one block does not look
        like an effect of the limit in all of them.
        """
        means = [
            arm.mean if is_high else -arm.mean
            for _, is_high, arm in self.blocks[:-1]
            if arm.count
        ]
        return len(means) >= MINIMUM_CONSISTENT_BLOCKS and all(
            first + second > 0 for first, second in zip(means, means[1:])
        )


class CapacityEstimator:
    """Learns the concurrency limit and the slowdown of one upstream.

    Parameters
    ----------
    registered : int
        Number of slots that the upstream registered.
    on_changed : callable
        ``on_changed(now, **fields)`` is called when the learned limit changes
        and when a trial begins.

    Attributes
    ----------
    limit : int
        Limit to apply now; during a trial one of the two that it compares.
    learned : int
        Limit without regard to a running trial.

    Examples
    --------
    >>> estimator = CapacityEstimator(registered=3)
    >>> estimator.on_completed("browse", 0.2, 1.0, 5.0, usual_seconds=0.1)
    >>> estimator.limit, round(estimator.slowdown(5.0), 2)
    (3, 1.33)
    """

    def __init__(self, *, registered, on_changed=lambda now, **fields: None):
        self._on_changed = on_changed
        self._registered = registered
        self._cold_until = -math.inf
        self._reset()

    def _reset(self):
        self.limit = self.learned = self._registered
        self._trial = None
        self._block_ends_at = math.inf
        self._next_trial_at = -math.inf
        self._interval = MINIMUM_TRIAL_INTERVAL_SECONDS
        self._mean_seconds = None
        # Average durations and their counts, by route.
        self._low_baselines = ({}, {})
        self._any_baselines = ({}, {})
        self._confirmed_at = -math.inf
        self._period_ends_at = -math.inf
        self._period = _Arm()
        self._elevated_periods = []
        self._overloaded_periods = 0
        self._usual_seconds_by_route = {}
        self._slowdown_total = 0.0
        self._slowdown_weight = 0.0
        self._slowdown_at = -math.inf

    def on_registered(self, slots, now):
        """Start again if the number of registered slots has changed."""
        if slots != self._registered:
            self._registered = slots
            self._reset()

    def on_cold(self, until):
        """Start again; ignore requests granted before this time, seconds."""
        self._cold_until = max(self._cold_until, until)
        self._reset()

    # Slowdown.

    def slowdown(self, now, running=()):
        """Return the recent duration relative to the service's usual one.

        0 without measurements.

        Parameters
        ----------
        now : float
        running : iterable of (route, granted_at)
            Requests that have not ended. Long ones raise the slowdown before
            they complete.
        """
        if self._slowdown_weight <= 0:
            return 0.0
        age = now - self._slowdown_at
        retention = 0.5 ** (age / SLOWDOWN_HALF_LIFE_SECONDS)
        weight = self._slowdown_weight * retention
        total = self._slowdown_total * retention
        value = (total + PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT)
        shortest = RUNNING_DURATION_FACTOR * value
        for route, granted_at in running:
            usual = self._usual_seconds_by_route.get(route)
            if usual and granted_at >= self._cold_until:
                ratio = (now - granted_at) / usual
                if ratio > shortest:
                    total += min(ratio, MAXIMUM_RELATIVE_DURATION)
                    weight += 1.0
        return (total + PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT)

    def _update_slowdown(self, route, seconds, usual_seconds, now):
        usual = self._usual_seconds_by_route.get(route, usual_seconds)
        usual += USUAL_SMOOTHING_FACTOR * (usual_seconds - usual)
        self._usual_seconds_by_route[route] = usual
        retention = SLOWDOWN_RETENTION
        if self._slowdown_weight:
            age = now - self._slowdown_at
            retention *= 0.5 ** (age / SLOWDOWN_HALF_LIFE_SECONDS)
        self._slowdown_total = self._slowdown_total * retention + min(
            seconds / usual, MAXIMUM_RELATIVE_DURATION
        )
        self._slowdown_weight = self._slowdown_weight * retention + 1.0
        self._slowdown_at = now

    # Limit.

    def on_completed(
        self, route, seconds, concurrency, now, usual_seconds=None
    ):
        """Record a request that the upstream ran without an error.

        Parameters
        ----------
        route : str
        seconds : float
            Time between its grant and its answer.
        concurrency : float
            Mean of the number of running requests at its grant and at its
            answer, itself included. A maximum would depend on its duration.
        now : float
        usual_seconds : float, optional
            Usual duration of the route at all upstreams of the service.
        """
        if now - seconds < self._cold_until or seconds <= 0:
            return
        if usual_seconds:
            self._update_slowdown(route, seconds, usual_seconds, now)
        mean = self._mean_seconds or seconds
        self._mean_seconds = mean + SMOOTHING_FACTOR * (seconds - mean)
        low_limit = max(1.0, self.learned * LOW_RATIO)
        if self._trial is not None and self._trial.is_reduction:
            low_limit = self._trial.low
        is_low = concurrency <= low_limit
        usual = self._update_baseline(route, seconds, is_low)
        if self._trial is not None:
            self._trial.add(route, seconds, concurrency, now)
            return
        self._period.add(
            min(seconds / usual, MAXIMUM_RELATIVE_DURATION), concurrency
        )
        if (
            now >= self._period_ends_at
            and self._period.count >= MINIMUM_PERIOD_SAMPLES
        ):
            self._end_period(now)

    def _update_baseline(self, route, seconds, is_low):
        """Return the duration of a route at low concurrency, seconds.

        The first requests of a route replace those at low concurrency until
        there are some.
        """
        seconds_by_route, counts_by_route = self._any_baselines
        if is_low:
            seconds_by_route, counts_by_route = self._low_baselines
        count = counts_by_route.get(route, 0) + 1
        if is_low or count <= MINIMUM_LOW_SAMPLES:
            counts_by_route[route] = count
            mean = seconds_by_route.get(route, seconds)
            seconds_by_route[route] = mean + max(
                BASELINE_SMOOTHING_FACTOR, 1 / count
            ) * (seconds - mean)
        return self._usual_here(route)

    def _usual_here(self, route):
        low_seconds_by_route, counts_by_route = self._low_baselines
        if counts_by_route.get(route, 0) >= MINIMUM_LOW_SAMPLES:
            return low_seconds_by_route[route]
        any_seconds_by_route = self._any_baselines[0]
        return any_seconds_by_route.get(route, low_seconds_by_route.get(route))

    def _is_low_unknown(self):
        """Return whether the durations at low concurrency are not known."""
        counts_by_route = self._low_baselines[1]
        return sum(counts_by_route.values()) < MINIMUM_LOW_SAMPLES

    def _is_elevated(self):
        """Return whether durations at full concurrency are surely longer."""
        if len(self._elevated_periods) < ELEVATED_PERIODS:
            return False
        if self._is_low_unknown():
            return self._overloaded_periods >= BLIND_PERIODS
        low_count = sum(self._low_baselines[1].values())
        arm = _sum(self._elevated_periods)
        # The average of the low durations counts like this many of them.
        low_count = min(low_count, 1 / BASELINE_SMOOTHING_FACTOR)
        error = math.sqrt(arm.relative_error() * (1 + arm.count / low_count))
        return (
            math.log(arm.mean / ELEVATION_RATIO) > ELEVATION_CONFIDENCE * error
        )

    def _end_period(self, now):
        period, self._period = self._period, _Arm()
        self._period_ends_at = now + PERIOD_SECONDS
        if (
            self.learned < self._registered
            and now - self._confirmed_at > MAXIMUM_EVIDENCE_SECONDS
        ):
            self._set_learned(self.learned + 1, now, reason="not confirmed")
        use = period.concurrency / period.count / self.learned
        is_saturated = use >= SATURATION_RATIO
        self._overloaded_periods = (
            self._overloaded_periods + 1 if use >= OVERLOAD_RATIO else 0
        )
        if is_saturated and (
            period.mean >= PERIOD_ELEVATION_RATIO or self._is_low_unknown()
        ):
            self._elevated_periods.append(period)
            del self._elevated_periods[:-MAXIMUM_ELEVATED_PERIODS]
        else:
            self._elevated_periods.clear()
        if not is_saturated or now < self._next_trial_at:
            return
        if self.learned > 1 and self._is_elevated():
            low = math.ceil(self.learned / 2)
            self._begin_trial(low, self.learned, now)
        elif self.learned < self._registered:
            high = min(self._registered, self.learned * 2)
            self._begin_trial(self.learned, high, now)

    def _begin_trial(self, low, high, now):
        is_reduction = low < self.learned
        self._trial = _Trial(
            low=low,
            high=high,
            is_reduction=is_reduction,
            is_blind=is_reduction and self._is_low_unknown(),
            seconds_by_route={
                route: self._usual_here(route)
                for baselines in (self._any_baselines, self._low_baselines)
                for route in baselines[0]
            },
            now=now,
        )
        self._start_block(now)
        self._on_changed(
            now,
            chosen=self.learned,
            registered=self._registered,
            reason="trial begins",
            trial=[low, high],
        )

    def _start_block(self, now):
        self.limit = self._trial.limit
        self._block_ends_at = now + min(
            MAXIMUM_BLOCK_SECONDS,
            max(
                MINIMUM_BLOCK_SECONDS,
                self._mean_seconds * BLOCK_DURATION_FACTOR,
            ),
        )

    def advance(self, now):
        """Begin the next block of a trial, or end the trial, when due."""
        if now < self._block_ends_at:
            return
        trial = self._trial
        result = None
        if not trial.is_blind:
            result = trial.compare()
        is_last = len(trial.blocks) >= (
            MAXIMUM_BLIND_BLOCKS
            if trial.is_blind
            else (
                MAXIMUM_REDUCTION_BLOCKS
                if trial.is_reduction
                else MAXIMUM_BLOCKS
            )
        )
        if result is not None:
            elasticity, error, _ = result
            needed, confidence = (
                (REDUCTION_ELASTICITY, REDUCTION_CONFIDENCE)
                if trial.is_reduction
                else (CONFIRMATION_ELASTICITY, CONFIRMATION_CONFIDENCE)
            )
            if (
                elasticity >= needed
                and elasticity - confidence * error > needed / 2
                and (not trial.is_reduction or trial.is_consistent())
            ):
                self._end_trial(trial.low, result, now)
                return
            is_last |= elasticity + REJECTION_CONFIDENCE * error < needed
        if not is_last:
            trial.begin_block(now)
            self._start_block(now)
        elif result is None:
            self._end_trial(self.learned, result, now)
        elif not trial.is_reduction and result[0] >= needed:
            self._end_trial(trial.low, result, now)
        else:
            self._end_trial(trial.high, result, now)

    def _end_trial(self, chosen, result, now):
        is_futile = self._trial.is_blind and self._is_low_unknown()
        if result is None and not is_futile:
            self._next_trial_at = now + INCONCLUSIVE_INTERVAL_SECONDS
        elif chosen == self.learned:
            maximum = (
                MAXIMUM_DOWNWARD_INTERVAL_SECONDS
                if chosen == self._trial.high
                else MAXIMUM_UPWARD_INTERVAL_SECONDS
            )
            self._next_trial_at = now + min(self._interval, maximum)
            self._interval = min(self._interval * 2, maximum)
            self._confirmed_at = now
        else:
            self._interval = MINIMUM_TRIAL_INTERVAL_SECONDS
            self._next_trial_at = now + (
                self._interval
                if chosen < self.learned
                else INCONCLUSIVE_INTERVAL_SECONDS
            )
            self._confirmed_at = now
        self._trial = None
        self._block_ends_at = math.inf
        self._period = _Arm()
        self._elevated_periods.clear()
        self._period_ends_at = now + PERIOD_SECONDS
        elasticity, error, samples = result or (None, None, 0)
        self._set_learned(
            chosen,
            now,
            reason="trial",
            elasticity=elasticity and round(elasticity, 2),
            error=error and round(error, 2),
            samples=samples,
        )

    def _set_learned(self, chosen, now, **fields):
        previous, self.learned = self.learned, chosen
        self.limit = chosen
        self._on_changed(
            now,
            chosen=chosen,
            previous=previous,
            registered=self._registered,
            **fields,
        )
