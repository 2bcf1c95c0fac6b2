/** A named pipe in place of a file, so that a test knows when a process reads it. */

import {execFileSync} from 'node:child_process';
import {closeSync, openSync, renameSync} from 'node:fs';
import {open} from 'node:fs/promises';

export class NamedPipe {
  private constructor(private readonly path: string) {}

  /**
   * Replaces a file by a named pipe.
   * @param path - Path of the file, which need not exist.
   */
  static replace(path: string): NamedPipe {
    const pipe = new NamedPipe(path);
    pipe.renew();
    return pipe;
  }

  /**
   * Waits until a process opens the pipe, and then has it read a text up to its end.
   * The next process that opens the path waits for the next text.
   * @param text - Text to read.
   * @param onOpen - Called while the process waits for the text.
   */
  async writeWhenOpened(text: string, onOpen?: () => void): Promise<void> {
    const handle = await open(this.path, 'w');
    // A pipe that is opened again while its reader still has it open has no end in between.
    this.renew();
    onOpen?.();
    try {
      await handle.writeFile(text);
    } catch (error) {
      // The process may have ended before it has read the text.
      if ((error as NodeJS.ErrnoException).code !== 'EPIPE') throw error;
    } finally {
      await handle.close();
    }
  }

  /** Ends a wait for a process that does not open the pipe any more. */
  release(): void {
    closeSync(openSync(this.path, 'r+'));
  }

  private renew(): void {
    const newPath = `${this.path}.new`;
    execFileSync('mkfifo', [newPath]);
    renameSync(newPath, this.path);
  }
}
