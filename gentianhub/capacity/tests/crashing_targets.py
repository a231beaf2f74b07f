"""Simulated targets on a manual clock that crash when they start certain tasks."""

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity.jobs import TaskKey
from gentianhub.capacity.tests.builders import (
    CELL,
    build_request,
    build_step,
    build_target,
)
from gentianhub.capacity.tests.lossy_targets import RUN_S, LossyTargets

# A crashed target refuses connections at once, and is listed under a new name later.
REFUSAL_S = 0.01
RESTART_S = 3.2
# Long enough for several runs one after another, each of which ends with its lease.
OBJECTIVE_S = 10.0
DEADLINE_S = 30.0


class CrashingTargets(LossyTargets):
    """A cell in which the `deadly` tasks crash each target that starts them.

    `crashes` lists the tasks that have crashed a target, and `losses` the tasks that
    ran on a target when it crashed. `ends` has how each task ended, as reported.
    """

    def __init__(self, targets: int, deadly: set[TaskKey]):
        super().__init__(seed=1, targets=targets, unanswered_probability=0.0)
        self.deadly = deadly
        self.crashes: list[TaskKey] = []
        self.losses: list[TaskKey] = []
        self.ends: dict[TaskKey, list[ev.TaskEnd]] = {}
        self.crashed: set[str] = set()
        self.restarts = 0
        self.list_targets()

    def submit(self, job: str, tasks: int, front_host=None) -> None:
        step = build_step(count=tasks, cores=27, estimate_s=RUN_S)
        self.submitted_s.setdefault(job, self.driver.now_s)
        self.unfinished[job] = tasks
        request = build_request(
            job, step, deadline_in_s=DEADLINE_S, objective_s=OBJECTIVE_S
        )
        self.feed(request, front_host)

    def handle_end(self, message: ev.TasksEnded) -> None:
        super().handle_end(message)
        for index in message.indexes:
            key = TaskKey(job=message.job, step=message.step_number, index=index)
            self.ends.setdefault(key, []).append(message.end)

    def execute(self, command) -> None:
        name = command.target.name
        if name in self.crashed:
            if isinstance(command, fx.StartRun):
                refused = self.build_start_answer(command, ev.StartVerdict.NOT_SENT)
                self.feed(refused)
            return
        super().execute(command)
        if isinstance(command, fx.StartRun) and command.key in self.deadly:
            self.crashes.append(command.key)
            self.crash(name)

    def deliver(self, name: str, answer) -> None:
        if name in self.crashed and isinstance(answer, ev.StartAnswered):
            self.feed(
                ev.StartAnswered(
                    target=name,
                    key=answer.key,
                    run=answer.run,
                    verdict=ev.StartVerdict.UNANSWERED,
                    sent_s=answer.sent_s,
                )
            )
        elif name not in self.crashed:
            super().deliver(name, answer)

    def crash(self, name: str) -> None:
        self.losses += self.running[name]
        self.running[name] = {}
        self.crashed.add(name)
        silent = ev.TargetSilent(target=name, reason="refused", is_refused=True)
        self.schedule(REFUSAL_S, self.feed, silent)
        self.schedule(RESTART_S, self.restart, name)

    def list_targets(self) -> None:
        targets = tuple(self.entries.values())
        scheduler = self.driver.scheduler
        list(scheduler.losses.resolve_by_list(targets, {CELL}, self.driver.now_s))
        super().list_targets()

    def restart(self, name: str) -> None:
        """List a new target at the address of a crashed one, which is gone."""
        entry = self.entries.pop(name)
        self.restarts += 1
        new = build_target(f"new-{self.restarts}", port=entry.port, incarnation=2)
        self.add_target(new)
        self.list_targets()
        self.feed(self.build_report(new.name, self.driver.now_s))
