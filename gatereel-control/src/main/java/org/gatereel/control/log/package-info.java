/** What log files of any number of hosts say of the requests in them. */
package org.gatereel.control.log;
