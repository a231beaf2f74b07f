"""Which jobs are refused when the memory for open jobs is used up."""

import unittest

from gentianhub.capacity.jobs import CapacityJob, JobStep
from gentianhub.capacity.resources import Resources
from gentianhub.host.client_limits import choose_job_bytes
from gentianhub.host.job_memory import ORDINARY_TASKS, TASK_BYTES, JobMemory
from gentianhub.platform.callers import MAX_TASKS


def build_job(tasks: int) -> CapacityJob:
    step = JobStep(count=tasks, demand=Resources(cpu_millicores=1))
    return CapacityJob(payload="", steps=(step,))


class JobMemoryTest(unittest.TestCase):
    """Guards against jobs that fill the memory of a host with their tasks."""

    def test_jobs_beyond_the_memory_are_refused(self):
        memory = JobMemory(max_bytes=1000 * TASK_BYTES)
        sizes = [memory.reserve(build_job(ORDINARY_TASKS)) for _ in range(7)]
        self.assertEqual(5, sum(size is not None for size in sizes))

    def test_large_jobs_leave_room_for_ordinary_ones(self):
        memory = JobMemory(max_bytes=1000 * TASK_BYTES)
        self.assertIsNotNone(memory.reserve(build_job(700)))
        self.assertIsNone(memory.reserve(build_job(ORDINARY_TASKS + 1)))
        self.assertIsNotNone(memory.reserve(build_job(ORDINARY_TASKS)))

    def test_released_memory_is_free(self):
        memory = JobMemory(max_bytes=1000 * TASK_BYTES)
        for _ in range(5):
            memory.release(memory.reserve(build_job(700)))
        self.assertEqual(0, memory.held_bytes)

    def test_the_largest_job_is_accepted_in_calm(self):
        for memory_mb in (64, 160, 552):
            memory = JobMemory(max_bytes=choose_job_bytes(memory_mb))
            self.assertIsNotNone(memory.reserve(build_job(MAX_TASKS)))


if __name__ == "__main__":
    unittest.main()
