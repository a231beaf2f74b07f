"""The greenlet that owns a host's decisions: its jobs, its cells and its claims."""

import logging
from collections import deque
from collections.abc import Iterator
from typing import Any

from attrs import define, field, frozen

from gentianhub.capacity import effects as fx
from gentianhub.capacity import events as ev
from gentianhub.capacity import ownership as ow
from gentianhub.capacity.cell import CellScheduler, name_task
from gentianhub.capacity.estimates import RunEstimates
from gentianhub.capacity.front import (
    CallerLeft,
    CancelCapacityJob,
    EndJobs,
    FrontBook,
    OwnersChanged,
    SubmitCapacityJob,
)
from gentianhub.capacity.jobs import (
    Cell,
    Configuration,
    ListedTarget,
    count_cells,
    divide_data_centre,
)
from gentianhub.core import Incarnation, Mailbox, ProcessName, read_monotonic_s
from gentianhub.host import messages as ms
from gentianhub.host.encoding import encode_message
from gentianhub.host.followers import decode_targets
from gentianhub.host.links import HostLinks
from gentianhub.host.metrics import HostMetrics
from gentianhub.host.target_ports import TargetPorts
from gentianhub.linking.notices import (
    DialFailed,
    LinkClosed,
    LinkOpened,
    MessageReceived,
)
from gentianhub.platform import callers
from gentianhub.platform.content import decode_configuration
from gentianhub.platform.fields import FieldError
from gentianhub.web import Response

# Heartbeats to hosts of the own data centre, and to others, every so many ticks.
NEAR_BEAT_TICKS = 2
FAR_BEAT_TICKS = 4
# Lost hosts are looked for every so many ticks.
HOUSEKEEPING_TICKS = 20
# A sibling that has had this long to read a configuration itself gets ours, s.
OFFER_AFTER_S = 0.3
# Targets write their entries every 1.5 s; two heartbeats let all of them register, s.
REGISTRATION_S = 3.0
# The caller's wait if it names none, s.
DEFAULT_WAIT_S = 30.0
# A registered host that nobody has heard for this long is removed, s.
LOST_HOST_S = 20.0
# Jobs on open connections are still taken this long after the balancer was told, s.
NOTICE_S = 2.5

logger = logging.getLogger(__name__)


@frozen(kw_only=True)
class OpenCall:
    """A submission that waits for its answer; `accepted_s` is monotonic."""

    job_id: str
    accepted_s: float


@define(kw_only=True, eq=False)
class Coordinator:
    """Owns the state of one host; other greenlets reach it by its mailbox.

    Parameters
    ----------
    own : Incarnation
        This run of the host's process.
    register : Mailbox
        Takes orders for the register of hosts.
    """

    own: Incarnation
    mailbox: Mailbox
    register: Mailbox
    links: HostLinks
    started_s: float = field(factory=read_monotonic_s)
    metrics: HostMetrics = field(init=False, factory=lambda: HostMetrics())
    configuration: Configuration | None = field(init=False, default=None)
    front: FrontBook = field(init=False)
    ownership: ow.Ownership = field(init=False)
    cells: dict[Cell, CellScheduler] = field(init=False, factory=dict)
    estimates: RunEstimates = field(init=False, factory=lambda: RunEstimates())
    targets: tuple[ListedTarget, ...] = field(init=False, default=())
    ports: TargetPorts = field(init=False)
    is_draining: bool = field(init=False, default=False)
    _drain_watcher: Any = field(init=False, default=None)
    _drain_began_s: float = field(init=False, default=0.0)
    _configuration_content: bytes = field(init=False, default=b"")
    _configuration_at_s: float = field(init=False, default=0.0)
    _local: deque = field(init=False, factory=deque)
    _owners: dict[Cell, ow.OwnerKnown] = field(init=False, factory=dict)
    _beats: int = field(init=False, default=0)
    _ticks: int = field(init=False, default=0)
    _target_rows: tuple = field(init=False, default=())
    _unheard_since_s: dict[str, float] = field(init=False, factory=dict)
    _row_versions: dict[str, int] = field(init=False, factory=dict)
    _calls: dict[Any, OpenCall] = field(init=False, factory=dict)

    def __attrs_post_init__(self):
        data_centre = self.own.name.data_centre
        self.front = FrontBook(data_centre=data_centre, started_s=self.started_s)
        self.ports = TargetPorts(answers=self.mailbox)
        self.ownership = ow.Ownership(
            own=self.own,
            cells=(),
            started_s=self.started_s,
            has_targets=False,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the host serves new callers."""
        return (
            self.configuration is not None
            and bool(self._owners)
            and not self.is_draining
        )

    def run(self) -> None:
        """Take messages for ever."""
        for message in self.mailbox.drain_messages():
            now_s = read_monotonic_s()
            self._take_message(message, now_s)
            while self._local:
                self._take_sibling(self.own, self._local.popleft(), now_s)

    def _take_message(self, message, now_s: float) -> None:
        match message:
            case ms.FrontRequest():
                self._take_request(message, now_s)
            case ms.CallerGone(reply_to=reply_to):
                call = self._calls.get(reply_to)
                if call is not None:
                    self._log("caller left", call.job_id)
                    left = CallerLeft(job_id=call.job_id, reply_to=reply_to)
                    self._run_front(left, now_s)
            case ev.TargetReported() | ev.TargetSilent() | ev.StartAnswered():
                self._run_cell_of(message.target, message, now_s)
            case ev.StopAnswered():
                self._run_cell_of(message.target, message, now_s)
            case ev.TargetFenced(target=target, term=term):
                self._take_fencing(target, term, now_s)
            case MessageReceived(link=link, message=content):
                if self.links.hear(link, now_s):
                    self._take_sibling(link.incarnation, content, now_s)
            case ev.Tick():
                self._pass_time(now_s)
            case LinkOpened(link=link):
                self._open_link(link, now_s)
            case LinkClosed(link=link, reason=reason):
                if self.links.close(link):
                    self._log("link lost", str(link.incarnation), reason=reason)
            case DialFailed(target=target):
                self.links.dials.fail(target, now_s)
            case ms.ConfigurationRead(content=content):
                self._adopt_configuration(content, "store", now_s)
            case ms.HostsRead(hosts=hosts, versions=versions):
                self._take_hosts(hosts, versions)
            case ms.TargetsRead(targets=targets, rows=rows):
                self._take_targets(targets, rows, now_s)
            case ms.LayoutRead(cells=cells):
                self._adopt_layout(cells, "store")
            case ms.StoreLost(table=table, reason=reason):
                self._log("store lost", table, reason=reason)
            case ms.StoreRegained(table=table):
                self._log("store regained", table)
            case ms.BeginDrain(reply_to=reply_to):
                self._begin_drain(reply_to, now_s)
            case ms.EndOpenJobs():
                self._run_front(EndJobs(reason="the host stops"), now_s)
            case ms.DescribeHost(reply_to=reply_to):
                reply_to.offer(self.describe_state(now_s))
            case ms.RenderHostMetrics(reply_to=reply_to):
                reply_to.offer(self.metrics.render_text())

    # Callers

    def _take_request(self, request: ms.FrontRequest, now_s: float) -> None:
        if self.configuration is None:
            self._reply(request.reply_to, callers.encode_error(503, "not configured"))
            return
        route = self.configuration.find_route(request.host, request.path)
        if route is None:
            self._reply(request.reply_to, callers.encode_error(404, "no such queue"))
            return
        job_id = request.path[len(route.prefix) :].strip("/")
        match request.method:
            case "POST" if self._is_closing(now_s):
                self._log("job refused", job_id, reason="the host stops")
                refusal = callers.encode_error(503, "the host stops", 0.0)
                self._reply(request.reply_to, refusal)
            case "POST":
                self._submit_job(request, route, job_id, now_s)
            case "GET" if not job_id:
                count = self.front.count_waiting(route.name)
                self._reply(request.reply_to, callers.encode_waiting(count))
            case "GET":
                self._reply(request.reply_to, self._describe_job(job_id))
            case "DELETE":
                is_open = job_id in self.front.jobs
                cancel = CancelCapacityJob(job_id=job_id, reply_to=request.reply_to)
                self._run_front(cancel, now_s)
                state = callers.encode_state(200 if is_open else 410, "cancelled")
                self._log("cancel", job_id, is_open=is_open)
                self._reply(request.reply_to, state)
            case _:
                self._reply(request.reply_to, callers.encode_error(405, "unknown"))

    def _is_closing(self, now_s: float) -> bool:
        """Whether a job that came now might not end before the process does."""
        return self.is_draining and now_s > self._drain_began_s + NOTICE_S

    def _describe_job(self, job_id: str) -> Response:
        job = self.front.jobs.get(job_id)
        if job is None:
            return callers.encode_error(410, "no such job")
        return callers.encode_state(200, "running" if job.has_started else "queued")

    def _submit_job(
        self, request: ms.FrontRequest, route, job_id: str, now_s: float
    ) -> None:
        try:
            if not callers.JOB_ID_PATTERN.fullmatch(job_id):
                raise FieldError(f"id: expected 16 hex digits, got {job_id!r:.40}")
            job = callers.decode_job(request.body)
        except FieldError as error:
            self._log("job malformed", job_id, reason=str(error))
            self._reply(request.reply_to, callers.encode_error(400, str(error)))
            return
        self._log(
            "job submitted",
            job_id,
            route=route.name,
            configuration=self.configuration.version,
            widths=[step.count for step in job.steps],
            estimates_s=[step.estimate_s for step in job.steps],
            wait_s=request.wait_s,
        )
        self._calls[request.reply_to] = OpenCall(job_id=job_id, accepted_s=now_s)
        self.metrics.count_submission(route.name)
        self._refresh_owners(now_s)
        submit = SubmitCapacityJob(
            job_id=job_id,
            job=job,
            route=route,
            wait_s=request.wait_s or route.timeout_s or DEFAULT_WAIT_S,
            reply_to=request.reply_to,
        )
        self._run_front(submit, now_s)

    def _reply(self, reply_to: Mailbox, response: Response) -> None:
        self._calls.pop(reply_to, None)
        reply_to.offer(response)

    def _run_front(self, event, now_s: float) -> None:
        for effect in self.front.handle(event, now_s):
            self._carry_out_front(effect, now_s)

    def _carry_out_front(self, effect: fx.FrontEffect, now_s: float) -> None:
        match effect:
            case fx.SendToOwner(cell=cell, message=message):
                known = self._owners.get(cell)
                self._log_order(message, known)
                if known is None:
                    return
                if known.owner == self.own:
                    self._local.append(message)
                elif not self.links.send(known.owner, message):
                    self._log("order not sent", message.job, owner=str(known.owner))
            case fx.AnswerCaller():
                self._answer_caller(effect, now_s)
            case fx.Note():
                self._log(effect.decision, effect.subject, **effect.inputs)

    def _log_order(self, message, known: ow.OwnerKnown | None) -> None:
        """Log where tasks are sent, and the load that speaks for it."""
        owner = str(known.owner) if known else "none"
        match message:
            case ev.RunTasks(cell=cell):
                self._log(
                    "tasks sent",
                    message.job,
                    step=message.step_number,
                    tasks=list(message.indexes),
                    cell=str(cell),
                    owner=owner,
                    term=known.claim.term if known else 0,
                    free_millicores=known.claim.free_millicores if known else 0,
                    may_decline=message.may_decline,
                    repeat=message.is_repeat,
                )
            case ev.CancelTasks(cell=cell):
                self._log("tasks cancelled", message.job, cell=str(cell), owner=owner)

    def _answer_caller(self, answer: fx.AnswerCaller, now_s: float) -> None:
        call = self._calls.get(answer.reply_to)
        response_s = now_s - call.accepted_s if call else 0.0
        self.metrics.count_answer(answer.verdict, response_s)
        self._log(
            "job answered",
            answer.job,
            verdict=answer.verdict.value,
            reason=answer.reason,
            response_s=round(response_s, 4),
        )
        self._reply(answer.reply_to, callers.encode_answer(answer))

    # Cells

    def _take_targets(self, targets, rows, now_s: float) -> None:
        self.targets, self._target_rows = targets, rows
        self.ownership.has_targets = True
        self._settle_layout(now_s)
        for scheduler in list(self.cells.values()):
            self._list_targets(scheduler, now_s)

    def _settle_layout(self, now_s: float) -> None:
        """Ask for the number of cells while it is not known.

        A new number is written only once every target has had time to register.
        """
        if self.ownership.cells or not self.ownership.has_targets:
            return
        data_centre = self.own.name.data_centre
        targets = sum(t.data_centre == data_centre for t in self.targets)
        if targets:
            is_due = now_s > self.started_s + REGISTRATION_S
            cells = count_cells(targets) if is_due else None
            self.register.offer(ms.SettleLayout(data_centre=data_centre, cells=cells))

    def _adopt_layout(self, cells: int, source: str) -> None:
        if self.ownership.cells:
            return
        data_centre = self.own.name.data_centre
        self.ownership.cells = divide_data_centre(data_centre, cells)
        self._log("layout adopted", data_centre, cells=cells, source=source)

    def _find_scheduler(self, target: str) -> CellScheduler | None:
        return next((s for s in self.cells.values() if target in s.targets), None)

    def _run_cell_of(self, target: str, event, now_s: float) -> None:
        scheduler = self._find_scheduler(target)
        if scheduler is not None:
            self._run_cell(scheduler, event, now_s)

    def _run_cell(
        self,
        scheduler: CellScheduler,
        event,
        now_s: float,
        sender: Incarnation | None = None,
    ) -> None:
        for effect in scheduler.handle(event, now_s, sender):
            self._carry_out_cell(effect, now_s)

    def _carry_out_cell(self, effect: fx.CellEffect, now_s: float) -> None:
        match effect:
            case fx.RenewLease(target=target):
                self.ports.find_port(target).renew(effect)
            case fx.StartRun(target=target, key=key, run=run):
                self.metrics.starts += 1
                self._log(
                    "start",
                    name_task(key),
                    run=run,
                    target=target.name,
                    **effect.inputs,
                )
                if not self.ports.find_port(target).order(effect):
                    self._refuse_start(effect, now_s)
            case fx.StopRun(target=target, key=key, run=run):
                self.metrics.stops += 1
                self._log("stop", name_task(key), run=run, target=target.name)
                self.ports.find_port(target).order(effect)
            case fx.ForgetTarget(target=name):
                self.ports.forget(name)
            case fx.SendToFront(front=front, message=message):
                self._log_end(message)
                if front == self.own:
                    self._local.append(message)
                else:
                    self.links.send(front, message)
            case fx.Note():
                self._log(effect.decision, effect.subject, **effect.inputs)

    def _refuse_start(self, start: fx.StartRun, now_s: float) -> None:
        """Take a start back that no connection could be given."""
        self.mailbox.offer(
            ev.StartAnswered(
                target=start.target.name,
                key=start.key,
                run=start.run,
                verdict=ev.StartVerdict.NOT_SENT,
                sent_s=now_s,
            )
        )

    def _log_end(self, ended: ev.TasksEnded) -> None:
        self.metrics.count_end(ended.end)
        self._log(
            "tasks ended",
            ended.job,
            step=ended.step_number,
            tasks=list(ended.indexes),
            end=ended.end.value,
            has_started=ended.has_started,
        )

    def _list_targets(self, scheduler: CellScheduler, now_s: float) -> None:
        cell = scheduler.cell
        own = tuple(target for target in self.targets if cell.holds(target))
        self._run_cell(scheduler, ev.TargetsListed(targets=own), now_s)

    def _take_fencing(self, target: str, term: int, now_s: float) -> None:
        scheduler = self._find_scheduler(target)
        if scheduler is None or scheduler.term != term:
            return
        self._log("fenced", target, term=term)
        self._change_claims(self.ownership.take_fencing(scheduler.cell, now_s), now_s)

    def _change_claims(self, changes: Iterator, now_s: float) -> None:
        for change in changes:
            match change:
                case ow.CellTaken(cell=cell, term=term):
                    self._drop_cell(cell)
                    self._log("cell taken", str(cell), term=term)
                    self.cells[cell] = CellScheduler(
                        cell=cell,
                        term=term,
                        owned_since_s=now_s,
                        estimates=self.estimates,
                    )
                    self._list_targets(self.cells[cell], now_s)
                case ow.CellLost(cell=cell, reason=reason):
                    self._log("cell lost", str(cell), reason=reason)
                    self._drop_cell(cell)
            self._send_beats(self.links.find_linked(), now_s)
        self._refresh_owners(now_s)

    def _drop_cell(self, cell: Cell) -> None:
        scheduler = self.cells.pop(cell, None)
        if scheduler is not None:
            for name in scheduler.targets:
                self.ports.forget(name)

    def _refresh_owners(self, now_s: float) -> None:
        owners = self.ownership.find_owners(now_s)
        for cell, scheduler in self.cells.items():
            claim = scheduler.describe_load(now_s)
            known = owners.get(cell)
            if known is None or known.claim.term <= claim.term:
                owners[cell] = ow.OwnerKnown(owner=self.own, claim=claim)
        self._owners = owners
        self._run_front(OwnersChanged(owners=owners), now_s)

    # Siblings

    def _take_sibling(self, sender: Incarnation, message, now_s: float) -> None:
        match message:
            case ev.HostBeat():
                self._take_beat(sender, message, now_s)
            case ev.RunTasks(cell=cell) | ev.CancelTasks(cell=cell):
                scheduler = self.cells.get(cell)
                if scheduler is not None:
                    self._run_cell(scheduler, message, now_s, sender)
            case ev.TasksEnded():
                self._run_front(message, now_s)
            case ev.ConfigurationOffer(content=content):
                self._adopt_configuration(content, str(sender), now_s)
            case ev.TargetsOffer(rows=rows):
                # The store's own list, once read, is newer.
                if not self.ownership.has_targets:
                    self._log("targets offered", str(sender), count=len(rows))
                    self._take_targets(tuple(decode_targets(rows)), rows, now_s)
            case _:
                self._log("message not used", str(sender), kind=type(message).__name__)

    def _take_beat(self, sender: Incarnation, beat: ev.HostBeat, now_s: float) -> None:
        for claim in beat.claims:
            if claim.cell.data_centre == self.own.name.data_centre:
                self._adopt_layout(claim.cell.count, str(sender))
        was_live = self.ownership.is_live(sender, now_s)
        self.ownership.hear(sender, beat, now_s)
        if not was_live:
            self._log("host live", str(sender))
        if beat.claims or self._owners_include(sender):
            self._change_claims(self.ownership.decide(now_s), now_s)
        if beat.lacks_targets and self._target_rows:
            self.links.send(sender, ev.TargetsOffer(rows=self._target_rows))
        own = self.configuration.version if self.configuration else 0
        is_due = now_s > self._configuration_at_s + OFFER_AFTER_S
        if beat.configuration_version < own and is_due:
            content = self._configuration_content
            offer = ev.ConfigurationOffer(version=own, content=content)
            self.links.send(sender, offer)

    def _owners_include(self, host: Incarnation) -> bool:
        return any(known.owner == host for known in self._owners.values())

    def _open_link(self, link, now_s: float) -> None:
        replaced = self.links.open(link, now_s)
        peer = link.incarnation
        self._log("link opened", str(peer), replaced=len(replaced))
        for known in list(self.ownership.peers):
            if known.name == peer.name and known != peer:
                self.ownership.forget(known)
                self._lose_front(known, now_s)
        self._send_beats((peer,), now_s)
        for cell, known in list(self._owners.items()):
            if known.owner == peer:
                for effect in self.front.repeat_orders(cell, now_s):
                    self._carry_out_front(effect, now_s)

    def _lose_front(self, front: Incarnation, now_s: float) -> None:
        for scheduler in list(self.cells.values()):
            self._run_cell(scheduler, ev.FrontLost(front=front), now_s)

    def _send_beats(self, peers: tuple[Incarnation, ...], now_s: float) -> None:
        if not peers:
            return
        self._beats += 1
        beat = ev.HostBeat(
            number=self._beats,
            claims=tuple(s.describe_load(now_s) for s in self.cells.values()),
            configuration_version=(
                self.configuration.version if self.configuration else 0
            ),
            is_draining=self.is_draining,
            lacks_targets=not self.ownership.has_targets,
        )
        body = encode_message(beat)
        for peer in peers:
            self.links.send_encoded(peer, body)

    def _take_hosts(self, hosts, versions: dict[str, int]) -> None:
        self.links.set_hosts(hosts)
        for host in hosts:
            name = ProcessName(data_centre=host.data_centre, process=host.name)
            self.ownership.cores[name] = host.cores
        self._row_versions = versions
        self.ownership.expected_hosts = len(self.links.hosts)
        self.ownership.expected_near = sum(
            name.data_centre == self.own.name.data_centre for name in self.links.hosts
        )
        if self.own.name.process not in versions:
            self.register.offer(ms.RegisterAgain())

    def _adopt_configuration(self, content: bytes, source: str, now_s: float) -> None:
        try:
            read = decode_configuration(content)
        except FieldError as error:
            self._log("configuration not usable", source, reason=str(error))
            return
        if self.configuration and read.version <= self.configuration.version:
            return
        self.configuration = read
        self._configuration_content = content
        self._configuration_at_s = now_s
        self._log(
            "configuration adopted",
            source,
            version=read.version,
            routes=len(read.routes),
        )

    # Time

    def _pass_time(self, now_s: float) -> None:
        self._ticks += 1
        self.links.pass_time(now_s)
        self._find_lost_fronts(now_s)
        for scheduler in list(self.cells.values()):
            self._run_cell(scheduler, ev.Tick(), now_s)
        self._change_claims(self.ownership.decide(now_s), now_s)
        self._run_front(ev.Tick(), now_s)
        self._beat_by_distance(now_s)
        if self._ticks % HOUSEKEEPING_TICKS == 0:
            self._settle_layout(now_s)
            self.ownership.prune(now_s)
            self._remove_lost_hosts(now_s)
        self._check_drained(now_s)

    def _beat_by_distance(self, now_s: float) -> None:
        near = self._ticks % NEAR_BEAT_TICKS == 0
        far = self._ticks % FAR_BEAT_TICKS == 0
        data_centre = self.own.name.data_centre
        peers = tuple(
            peer
            for peer in self.links.find_linked()
            if far or (near and peer.name.data_centre == data_centre)
        )
        self._send_beats(peers, now_s)

    def _find_lost_fronts(self, now_s: float) -> None:
        for peer in list(self.ownership.peers):
            if self.ownership.is_live(peer, now_s):
                continue
            if self.ownership.peers[peer].is_lost:
                continue
            self.ownership.peers[peer].is_lost = True
            self._log("host silent", str(peer))
            self._lose_front(peer, now_s)

    def _remove_lost_hosts(self, now_s: float) -> None:
        """Take hosts that stay away out of the register; one owner does it for all."""
        live = {
            peer.name.process
            for peer in self.ownership.peers
            if self.ownership.is_live(peer, now_s)
        }
        absent = {name.process for name in self.links.hosts} - live
        self._unheard_since_s = {
            name: self._unheard_since_s.get(name, now_s) for name in absent
        }
        if not self.cells or not live:
            return
        for name, since_s in self._unheard_since_s.items():
            version = self._row_versions.get(name)
            if now_s > since_s + LOST_HOST_S and version is not None:
                self._unheard_since_s[name] = now_s
                self._log("host removed", name, silent_s=round(now_s - since_s, 1))
                self.register.offer(ms.RemoveHost(name=name, version=version))

    def _begin_drain(self, reply_to: Any, now_s: float) -> None:
        self._log("draining", str(self.own), open_jobs=len(self.front.jobs))
        self.is_draining = True
        self.ownership.is_draining = True
        self._drain_watcher = reply_to
        self._drain_began_s = now_s
        self._send_beats(self.links.find_linked(), now_s)

    def _check_drained(self, now_s: float) -> None:
        """Reply to the drain once callers were told and jobs have ended."""
        if self._drain_watcher is None or now_s < self._drain_began_s + NOTICE_S:
            return
        if not self.front.jobs and not self._has_cell_work():
            self._drain_watcher.offer(ms.Drained())
            self._drain_watcher = None

    def _has_cell_work(self) -> bool:
        """Whether a task waits or runs in a cell of this host."""
        return any(
            any(task.end is None for task in job.tasks.values())
            for scheduler in self.cells.values()
            for job in scheduler.jobs.values()
            if not job.is_cancelled
        )

    def describe_state(self, now_s: float) -> dict:
        """Return the host's state for the dump."""
        return {
            "host": str(self.own),
            "configuration": self.configuration.version if self.configuration else 0,
            "draining": self.is_draining,
            "open_jobs": len(self.front.jobs),
            "links": [str(peer) for peer in self.links.find_linked()],
            "owners": {
                str(cell): [str(known.owner), known.claim.term]
                for cell, known in self._owners.items()
            },
            "targets": {
                name: {
                    "phase": state.phase.value,
                    "runs": len(state.runs),
                    "used_millicores": state.used.cpu_millicores,
                    "pace": round(state.pace.value, 3),
                    "ejected": state.health.is_ejected(now_s),
                    "leaving": state.listed.is_leaving,
                }
                for scheduler in self.cells.values()
                for name, state in scheduler.targets.items()
            },
        }

    def _log(self, decision: str, subject: str, **inputs) -> None:
        logger.info(decision, extra={"id": subject, **inputs})
