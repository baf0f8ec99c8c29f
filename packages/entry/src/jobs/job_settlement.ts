/** Replicates the answer of a job before it is published. */
import type {RecordsCommand, RecordsResult} from '@mustardferry/coordination';
import type {JobAnswer} from '@mustardferry/model';
import type {Logger} from '@mustardferry/runtime';

/**
 * Records an answer and returns the stored one, which may be an earlier answer.
 * Returns `undefined` when the answer was refused or could not be recorded.
 */
export async function recordAnswer(
  propose: (command: RecordsCommand) => Promise<RecordsResult>,
  jobId: string,
  answer: JobAnswer,
  logger: Logger,
): Promise<JobAnswer | undefined> {
  try {
    const atMs = Date.now();
    const result = await propose({type: 'finish', jobId, answer, atMs});
    if (result.type !== 'finish') return undefined;
    if (result.outcome === 'finished') return answer;
    if (result.outcome === 'already-finished') return result.answer;
    if (result.reason === 'task-started' && answer.outcome === 'not-run') {
      // A start was recorded before the job ended. Even if it was never sent,
      // `not-run` can no longer be guaranteed.
      const failed: JobAnswer = {...answer, outcome: 'failed'};
      return await recordAnswer(propose, jobId, failed, logger);
    }
    logger.error('job-finish-refused', {jobId, reason: result.reason});
    return undefined;
  } catch (err) {
    logger.info('job-finish-not-recorded', {jobId, err});
    return undefined;
  }
}
